"""Tests of the division of what is scarce among accounts."""
