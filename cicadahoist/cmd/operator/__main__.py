"""Entry point of ``python -m cicadahoist.cmd.operator``."""

from cicadahoist.cmd.operator.app import main

main()
