"""Command line shared by the daemons."""

import sys
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import typer

from cicadahoist.application import Application
from cicadahoist.config import Config, render_defaults
from cicadahoist.errors import ConfigError
from cicadahoist.settings import SETTINGS

EXIT_CONFIG = 2


def daemon_command(
    build: Callable[[Application, Config], None],
) -> Callable[..., None]:
    """
    Return a typer command that runs a daemon.

    :param build: adds the daemon's tasks to its application
    """

    def command(
        config: Annotated[
            Path | None, typer.Option(help='INI file with the settings.')
        ] = None,
        print_defaults: Annotated[
            bool,
            typer.Option(
                '--print-defaults', help='Print all settings and exit.'
            ),
        ] = False,
    ) -> None:
        if print_defaults:
            sys.stdout.write(render_defaults(SETTINGS))
            return
        application = Application.from_config(read_config(config))
        build(application, application.config)
        application.run()

    return command


def read_config(path: Path | None) -> Config:
    """Return the settings of a file; exit if one is invalid."""
    if path is None:
        return Config({})
    try:
        return Config.from_file(path, SETTINGS)
    except ConfigError as error:
        sys.stderr.write(f'{error}\n')
        raise typer.Exit(EXIT_CONFIG) from error
