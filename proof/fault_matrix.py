"""Prints the fault matrix: every fault at every step of every protocol."""

from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from typing import Annotated, NamedTuple

import typer

from proof import scenarios
from proof.faults import FAULTS
from proof.matrix import Cell, Plan, Settings, all_steps, find_plans, run_cell
from proof.matrix import fault_sets as list_fault_sets
from proof.scenario import SCENARIOS, Step

JOBS = 4
CHUNK = 8
SINGLE_SEEDS = (0, 1, 2)
PAIR_SEEDS = (0,)

__all__ = ('main', 'scenarios')


class Task(NamedTuple):
    """One cell to run."""

    settings: Settings
    step: Step
    plan: Plan | None
    faults: tuple[str, ...]

    def run(self) -> Cell:
        """Run the cell; pairs under one seed, single faults under three."""
        seeds = SINGLE_SEEDS if len(self.faults) == 1 else PAIR_SEEDS
        return run_cell(self.settings, self.step, self.plan, self.faults, seeds)


def main(
    scenario: Annotated[list[str] | None, typer.Option()] = None,
    broken: Annotated[list[str] | None, typer.Option()] = None,
    pairs: bool = True,
    jobs: int = JOBS,
) -> None:
    """
    Run the matrix and print it; fails where a cell fails.

    :param scenario: scenarios to run, all where none is given
    :param broken: guards to take away, as chart.guard
    :param pairs: whether pairs of faults are run too
    :param jobs: processes that run cells at once
    """
    total: Counter[str] = Counter()
    with ProcessPoolExecutor(jobs) as pool:
        for name in scenario or SCENARIOS.names():
            settings = Settings(name, tuple(broken or ()))
            tasks = list(_tasks(settings, pairs))
            cells = list(pool.map(Task.run, tasks, chunksize=CHUNK))
            _print_table(name, cells)
            total.update(cell.state for cell in cells)
    typer.echo(f'seeds: single {SINGLE_SEEDS}, pairs {PAIR_SEEDS}')
    typer.echo(f'all cells: {dict(total)}')
    if total['failed'] or total['not reached']:
        raise typer.Exit(1)


def _tasks(settings: Settings, pairs: bool) -> Iterator[Task]:
    plans = find_plans(Settings(settings.scenario))
    for step in all_steps(settings.scenario):
        for faults in list_fault_sets(pairs):
            yield Task(settings, step, plans.get(step), faults)


def _print_table(name: str, cells: list[Cell]) -> None:
    by_step: dict[Step, list[Cell]] = {}
    for cell in cells:
        by_step.setdefault(cell.step, []).append(cell)
    typer.echo(f'\n== {name}')
    typer.echo(' | '.join(('step', *FAULTS.names(), 'pairs')))
    for step, row in by_step.items():
        singles = [cell.state for cell in row if len(cell.faults) == 1]
        pairs = Counter(cell.state for cell in row if len(cell.faults) > 1)
        counted = ', '.join(f'{pairs[state]} {state}' for state in pairs)
        typer.echo(' | '.join((str(step), *singles, counted or 'not run')))
    _print_reasons(cells)


def _print_reasons(cells: list[Cell]) -> None:
    reasons = {
        (cell.faults, cell.detail)
        for cell in cells
        if cell.state == 'cannot occur' and len(cell.faults) == 1
    }
    for faults, reason in sorted(reasons):
        typer.echo(f'cannot occur: {faults[0]}: {reason}')
    for cell in cells:
        if cell.state in {'failed', 'not reached'}:
            names = ' + '.join(cell.faults)
            typer.echo(
                f'{cell.state}: {cell.step}: {names}: seed {cell.seed}: '
                f'{cell.detail}'
            )


if __name__ == '__main__':
    typer.run(main)
