"""Data path: authenticates, admits, routes and relays requests."""
