"""Adapters to the platform and to targets."""
