"""Runs the operators' command line as a module."""

from cicadahoist.cmd.operator.app import main

main()
