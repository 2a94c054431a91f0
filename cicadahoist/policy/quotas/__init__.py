"""Quotas of workspaces over all instances of a deployment."""
