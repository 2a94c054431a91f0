"""Commands that check and print settings."""

from pathlib import Path
from typing import Annotated

import typer

from cicadahoist.cmd.operator.command import report_error
from cicadahoist.config import Config, render_defaults
from cicadahoist.errors import CicadahoistError
from cicadahoist.settings import SETTINGS

configuration = typer.Typer(help='Settings files.', no_args_is_help=True)


@configuration.command('check')
def check(
    path: Annotated[Path, typer.Argument(help='INI file.')],
) -> None:
    """Check a settings file without starting anything."""
    try:
        Config.from_file(path, SETTINGS)
    except CicadahoistError as error:
        raise report_error(error) from None
    typer.echo(f'{path}: correct')


def print_defaults(is_wanted: bool) -> None:
    """Print all settings with their defaults and exit."""
    if is_wanted:
        typer.echo(render_defaults(SETTINGS), nl=False)
        raise typer.Exit
