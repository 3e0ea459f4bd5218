"""Divides what is scarce fairly among accounts."""
