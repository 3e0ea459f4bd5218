"""Experiments and measurements: run, prove, measure, slopes."""
