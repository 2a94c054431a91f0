"""Choice of the paths to targets: direct, or through peers."""
