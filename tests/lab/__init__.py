"""Tests of the experiments and load tools."""
