"""Serving system for small fleets of language-model engines."""
