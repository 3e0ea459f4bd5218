"""Tests of the seeded play with real processes."""
