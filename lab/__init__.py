"""Experiments and load tools: run, prove, measure, overhead and slopes."""
