"""Scenarios that drive the protocol classes against fakes."""
