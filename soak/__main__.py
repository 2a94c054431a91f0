"""``python -m soak``: runs a series of seeds."""

import json
import sys
import tempfile
from pathlib import Path
from typing import Annotated

import typer
from twisted.internet import reactor
from twisted.internet.defer import Deferred

from soak.instances import ROOT
from soak.run import Soak

app = typer.Typer(add_completion=False)


@app.command()
def soak(
    seed: Annotated[int, typer.Option(help='First seed.')] = 1,
    seeds: Annotated[int, typer.Option(help='How many seeds.')] = 1,
    seconds: Annotated[float, typer.Option(help='Faults of each, in s.')] = 20,
    instances: Annotated[int, typer.Option(help='Instances of each.')] = 3,
    logs: Annotated[
        Path | None, typer.Option(help='Folder for logs of broken seeds.')
    ] = None,
    program: Annotated[
        Path,
        typer.Option(
            help='Folder of the build of the instances.',
            exists=True,
            file_okay=False,
            resolve_path=True,
        ),
    ] = ROOT,
    beside: Annotated[
        Path | None,
        typer.Option(
            help='Folder of another build, for every second instance.',
            exists=True,
            file_okay=False,
            resolve_path=True,
        ),
    ] = None,
) -> None:
    """Run the program under faults and judge what callers and targets see."""
    broken: list[int] = []

    async def run_all() -> None:
        for number in range(seed, seed + seeds):
            with tempfile.TemporaryDirectory() as folder:
                run = Soak(
                    reactor,
                    number,
                    instances,
                    Path(folder),
                    program=program,
                    beside=beside,
                )
                verdict = await run.run(seconds)
                typer.echo(json.dumps(verdict))
                if verdict['broken']:
                    broken.append(number)
                    _copy_logs(Path(folder), logs, number)

    def begin() -> None:
        running = Deferred.fromCoroutine(run_all())
        running.addErrback(lambda failure: typer.echo(failure.getTraceback()))
        running.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(begin)
    reactor.run()
    typer.echo(f'{seeds} seeds, {len(broken)} broken: {broken}')
    sys.exit(bool(broken))


def _copy_logs(folder: Path, logs: Path | None, seed: int) -> None:
    if logs is None:
        return
    seed_folder = logs / str(seed)
    seed_folder.mkdir(parents=True, exist_ok=True)
    for log in folder.glob('*.log'):
        (seed_folder / log.name).write_bytes(log.read_bytes())


if __name__ == '__main__':
    app()
