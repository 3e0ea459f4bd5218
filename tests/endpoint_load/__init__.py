"""Tests of what is learned of the load of endpoints."""
