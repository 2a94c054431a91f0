"""Runs and prints the matrix of all faults at all steps of all protocols."""

from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from typing import Annotated, NamedTuple

import typer

from proof import scenarios
from proof.faults import FAULTS
from proof.kits import KERNEL_TIMER
from proof.matrix import (
    Cell,
    Plan,
    RunSettings,
    find_failure,
    find_plans,
    list_fault_sets,
    list_guards,
    list_steps,
    run_cell,
)
from proof.scenario import SCENARIOS, Step

ALL = 'all'
LEASED_SCENARIOS = ('authority', 'usage_window')
DEFAULT_JOBS = 4
TASKS_PER_CHUNK = 8
SINGLE_SEEDS = (0, 1, 2, 3)
PAIR_SEEDS = (0, 3)

__all__ = ('main', 'scenarios')


class Task(NamedTuple):
    """One cell to run."""

    settings: RunSettings
    step: Step
    plan: Plan | None
    faults: tuple[str, ...]

    def run(self) -> Cell:
        """Run a single fault with four seeds, a pair of faults with two."""
        seeds = SINGLE_SEEDS if len(self.faults) == 1 else PAIR_SEEDS
        return run_cell(self.settings, self.step, self.plan, self.faults, seeds)


def main(
    scenario: Annotated[list[str] | None, typer.Option()] = None,
    broken: Annotated[list[str] | None, typer.Option()] = None,
    pairs: bool = True,
    jobs: int = DEFAULT_JOBS,
) -> None:
    """
    Run the matrix and print it.

    Exits with status 1 if a cell fails or a step is not reached.

    :param scenario: scenarios to run; all by default
    :param broken: guards to remove, as ``chart.guard``; ``all`` searches for
        each guard a single fault that violates an invariant without it
    :param pairs: whether to run pairs of faults, too
    :param jobs: number of processes that run cells in parallel
    """
    names = scenario or SCENARIOS.names()
    if broken == [ALL]:
        with ProcessPoolExecutor(jobs) as pool:
            for name in names:
                _print_guard_searches(name, pool)
        return
    count_by_state: Counter[str] = Counter()
    with ProcessPoolExecutor(jobs) as pool:
        for name in names:
            settings = RunSettings(name, tuple(broken or ()))
            tasks = list(_build_tasks(settings, pairs))
            cells = list(pool.map(Task.run, tasks, chunksize=TASKS_PER_CHUNK))
            _print_table(name, cells)
            count_by_state.update(cell.state for cell in cells)
    typer.echo(f'seeds: single {SINGLE_SEEDS}, pairs {PAIR_SEEDS}')
    typer.echo(f'all cells: {dict(count_by_state)}')
    if count_by_state['failed'] or count_by_state['not reached']:
        raise typer.Exit(1)


class GuardSearch(NamedTuple):
    """A search for a single fault that fails without a guard."""

    settings: RunSettings
    plan_by_step: dict[Step, Plan]

    def run(self) -> Cell | None:
        """Return the first failing cell over all steps with a plan, if any."""
        return find_failure(self.settings, self.plan_by_step, SINGLE_SEEDS)


def _print_guard_searches(name: str, pool: ProcessPoolExecutor) -> None:
    plan_by_step = find_plans(RunSettings(name))
    guards = list_guards(name)
    if name in LEASED_SCENARIOS:
        guards.append(KERNEL_TIMER)
    searches = [
        GuardSearch(RunSettings(name, (guard,)), plan_by_step)
        for guard in guards
    ]
    typer.echo(f'\n== {name}, each guard removed in turn')
    for guard, cell in zip(guards, pool.map(GuardSearch.run, searches)):
        summary = 'no single fault violates an invariant'
        if cell is not None:
            faults = ' + '.join(cell.faults)
            summary = f'{cell.step}: {faults}: seed {cell.seed}: {cell.detail}'
        typer.echo(f'without {guard}: {summary}')


def _build_tasks(settings: RunSettings, pairs: bool) -> Iterator[Task]:
    plan_by_step = find_plans(RunSettings(settings.scenario))
    for step in list_steps(settings.scenario):
        for faults in list_fault_sets(pairs):
            yield Task(settings, step, plan_by_step.get(step), faults)


def _print_table(name: str, cells: list[Cell]) -> None:
    cells_by_step: dict[Step, list[Cell]] = {}
    for cell in cells:
        cells_by_step.setdefault(cell.step, []).append(cell)
    typer.echo(f'\n== {name}')
    typer.echo(' | '.join(('step', *FAULTS.names(), 'pairs')))
    for step, row in cells_by_step.items():
        singles = [cell.state for cell in row if len(cell.faults) == 1]
        pairs = Counter(cell.state for cell in row if len(cell.faults) > 1)
        pair_summary = ', '.join(f'{pairs[state]} {state}' for state in pairs)
        typer.echo(' | '.join((str(step), *singles, pair_summary or 'not run')))
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
