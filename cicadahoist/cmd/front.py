"""``cicadahoist-front``: one program an instance, on the users' platform."""

import gc
from pathlib import Path
from typing import Annotated

import typer

from cicadahoist.application import Application
from cicadahoist.cmd.daemon import read_config
from cicadahoist.cmd.front_assembly import add_front
from cicadahoist.platform.settings_file import InstanceSettings

app = typer.Typer(add_completion=False)


@app.command()
def front(
    config: Annotated[
        Path | None, typer.Option(help='INI file with the settings.')
    ] = None,
    platform_settings: Annotated[
        str | None,
        typer.Option(help='Settings of the platform; else from its variable.'),
    ] = None,
) -> None:
    """Serve callers and stand for the duties of the deployment."""
    application = Application.from_config(read_config(config))
    add_front(
        application, lambda: InstanceSettings.from_file(platform_settings)
    )
    # What was imported stays; collections need not look at it again.
    gc.collect()
    gc.freeze()
    application.run()


def main() -> None:
    """Run the program."""
    app()


if __name__ == '__main__':
    main()
