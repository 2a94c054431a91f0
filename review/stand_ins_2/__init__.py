"""Stand-ins of the second review: platform, workers, clients and links."""
