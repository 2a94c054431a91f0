"""Decides which instances watch the store, and how old their news are."""
