"""Measurements and launchers; nothing here runs in CI."""
