"""Decides which endpoints may get work: cordons, cold times, eligibility."""
