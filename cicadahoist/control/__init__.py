"""Zone duties: leases, orders, roles, scaling and usage reports."""
