"""Specifications for the model checker, made from the charts."""
