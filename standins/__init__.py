"""Test doubles of external systems: the platform, engines and services."""
