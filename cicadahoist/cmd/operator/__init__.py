"""Operators' command line."""

from cicadahoist.cmd.operator.app import main

__all__ = ('main',)
