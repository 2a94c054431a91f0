"""Checks the models of the protocols, complete or with a guard removed."""

from collections.abc import Iterator
from typing import Annotated, Any

import typer

from cicadahoist.protocol.chart import Chart
from proof.kits import KERNEL_TIMER
from proof.kripke import Result, StateSpace
from proof.models.claim import ClaimModel
from proof.models.lease import LeaseModel
from proof.models.order import OrderModel
from proof.models.revision import RevisionModel
from proof.models.usage_window import UsageModel

ALL = 'all'
CHARTS = ('lease', 'order', 'claim', 'usage_window', 'revision')
# Their removal shows only in the model in which processes leave.
LEAVING_GUARDS = ('lease.orders_settled', 'lease.leaving')
MODEL_CLASS_BY_CHART: dict[str, Any] = {
    'order': OrderModel,
    'claim': ClaimModel,
    'usage_window': UsageModel,
    'revision': RevisionModel,
}


def main(
    broken: Annotated[str, typer.Option()] = '',
    leaving: bool = True,
) -> None:
    """
    Check all models, or search a counterexample without a guard.

    Exits with status 1 if a property fails, or if a removed guard leads to
    no counterexample.

    :param broken: guard to remove, as ``chart.guard`` or ``guard``, or
        ``all`` to remove each guard in turn
    :param leaving: whether to check the large lease model in which processes
        leave, too
    """
    if broken:
        undetected_guards = [
            guard
            for guard in list_guards()
            if broken in {ALL, guard, guard.partition('.')[2]}
            and not print_counterexample(guard)
        ]
        has_failed = bool(undetected_guards)
    else:
        has_failed = not all(
            print_results(model) for model in build_models(leaving)
        )
    if has_failed:
        raise typer.Exit(1)


def list_guards() -> list[str]:
    """Return all guards as ``chart.guard``, and the kernel timer."""
    guards = [
        f'{name}.{guard}'
        for name in CHARTS
        for guard in Chart.load(name).summary_by_guard
    ]
    return [*guards, KERNEL_TIMER]


def build_models(leaving: bool) -> Iterator[Any]:
    """Yield each model with all its guards."""
    for fencing in (False, True):
        yield LeaseModel(fencing=fencing)
        yield OrderModel(fencing=fencing)
    yield ClaimModel()
    yield UsageModel()
    yield RevisionModel()
    if leaving:
        yield LeaseModel(leaving=True)


def build_model_without(guard: str) -> Any:
    """Return the model of a guard's chart with the guard removed."""
    chart = guard.partition('.')[0]
    if chart in MODEL_CLASS_BY_CHART:
        return MODEL_CLASS_BY_CHART[chart](guard)
    return LeaseModel(guard, leaving=guard in LEAVING_GUARDS)


def find_counterexample(guard: str) -> tuple[int, Result | None]:
    """
    Search a counterexample in the model without a guard.

    :return: count of searched states, and the first property that fails
    """
    model = build_model_without(guard)
    space = StateSpace(model, stop_early=True)
    broken = [found for found in space.check(model.properties) if not found[1]]
    if space.has_stopped_early:
        broken = [found for found in broken if found.is_safety]
    return len(space), broken[0] if broken else None


def print_counterexample(guard: str) -> bool:
    """Print the counterexample; return whether there is one."""
    state_count, broken = find_counterexample(guard)
    typer.echo(f'\n== without {guard}: {state_count} states searched')
    if broken is None:
        typer.echo('NO COUNTEREXAMPLE FOUND')
        return False
    typer.echo(f'broken: {broken.meaning}')
    for number, label in enumerate(broken.trace, start=1):
        typer.echo(f'  {number:2}. {label}')
    return True


def print_results(model: Any) -> bool:
    """Print the verdicts on a model; return whether all properties hold."""
    space = StateSpace(model)
    typer.echo(
        f'\n== {model.name}: {len(space)} states, {space.edge_count} moves'
    )
    results = space.check(model.properties)
    for result in results:
        verdict = 'holds' if result.holds else 'BROKEN'
        typer.echo(f'{verdict}: {result.meaning}')
        for label in result.trace:
            typer.echo(f'    {label}')
    return all(result.holds for result in results)


if __name__ == '__main__':
    typer.run(main)
