"""The data path of an instance on a platform with prompt-aware requests."""
