"""Learns what endpoints can do at the moment."""
