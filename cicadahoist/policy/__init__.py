"""Pure decisions: no I/O, and time is an argument."""
