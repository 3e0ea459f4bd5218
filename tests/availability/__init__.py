"""Tests of the decisions which endpoints may get work."""
