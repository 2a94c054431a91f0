"""Balanced load from information that is some time old."""
