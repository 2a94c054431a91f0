"""Slopes of processor time, memory and bytes against the system's size."""
