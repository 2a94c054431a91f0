"""Model checking and the fault matrix."""
