"""Protocols for the external systems that the decision logic uses."""
