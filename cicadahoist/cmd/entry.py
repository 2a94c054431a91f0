"""``cicadahoist-entry``: the data path of one instance."""

import typer

from cicadahoist.application import Application
from cicadahoist.cmd.daemon import daemon_command
from cicadahoist.config import Config
from cicadahoist.entry.assembly import add_entry

app = typer.Typer(add_completion=False)


def build(application: Application, config: Config) -> None:
    """Add the tasks of the entry daemon."""
    add_entry(application, config)


app.command()(daemon_command(build))


def main() -> None:
    """Run the daemon."""
    app()


if __name__ == '__main__':
    main()
