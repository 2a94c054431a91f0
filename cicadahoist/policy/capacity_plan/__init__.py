"""Number and roles of the engines of a large fleet, from its load."""
