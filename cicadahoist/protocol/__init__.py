"""State machines for leases, orders, claims, windows and revisions."""
