"""Stand-ins for outside systems: store, platform, engine and plain service."""
