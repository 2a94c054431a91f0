"""Bench of the policy layer against small queue models of engines."""
