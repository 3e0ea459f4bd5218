"""Tests of the test doubles in standins/."""
