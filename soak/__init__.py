"""Randomized soak test of the real program under injected faults."""
