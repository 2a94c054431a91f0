"""Reads answers of targets: where each begins and ends, and whose it is."""
