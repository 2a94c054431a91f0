"""State machines of leases, orders, claims, usage windows and revisions."""
