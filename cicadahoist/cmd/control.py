"""``cicadahoist-control``: leases, planned changes and usage reports."""

import typer

from cicadahoist.application import Application
from cicadahoist.cmd.daemon import daemon_command
from cicadahoist.config import Config
from cicadahoist.control.assembly import add_control
from cicadahoist.protocol.term_timer import block_alarm

app = typer.Typer(add_completion=False)


def build(application: Application, config: Config) -> None:
    """Add the tasks of the control daemon."""
    add_control(application, config)


app.command()(daemon_command(build))


def main() -> None:
    """Run the daemon with SIGALRM blocked in all threads but the main one."""
    block_alarm()
    app()


if __name__ == '__main__':
    main()
