"""Tests with values that no writer of the system leaves."""
