"""Tests of the proofs and measurements."""
