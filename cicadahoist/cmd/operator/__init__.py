"""Command line for operators."""

from cicadahoist.cmd.operator.app import main

__all__ = ('main',)
