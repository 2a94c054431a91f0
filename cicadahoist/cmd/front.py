"""``cicadahoist-front``: one process per instance, on the platform."""

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
        typer.Option(
            help='Settings file of the platform; default: $CICADAHOIST_CONFIG.'
        ),
    ] = None,
) -> None:
    """Serve callers and compete for the lease of the deployment's duties."""
    application = Application.from_config(read_config(config))
    add_front(
        application, lambda: InstanceSettings.from_file(platform_settings)
    )
    # Imported modules live as long as the process; collections skip them.
    gc.collect()
    gc.freeze()
    application.run()


def main() -> None:
    """Run the program."""
    app()


if __name__ == '__main__':
    main()
