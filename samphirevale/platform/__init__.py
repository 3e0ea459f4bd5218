"""Adapter to the users' platform: translates its names and data formats."""
