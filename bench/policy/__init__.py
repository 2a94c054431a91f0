"""Benchmark of the policy layer against queue models of engines."""
