"""The tests; the folder mirrors the package."""
