"""Compares variants of the system by paired plays on the users' bench."""
