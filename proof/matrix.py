"""Runs every fault at every step and gathers the verdicts."""

from collections.abc import Iterator
from itertools import combinations
from typing import NamedTuple

from cicadahoist.protocol.chart import Chart
from cicadahoist.protocol.machine import ChartKit
from proof.faults import DURATIONS_MS, FAULTS
from proof.scenario import SCENARIOS, Injection, Step, Verdict

MAX_DEPTH = 3
BASE_SEEDS = (0, 1, 2)

Plan = tuple[Injection, ...]


class Settings(NamedTuple):
    """
    What the runs of a matrix have in common.

    :param scenario: registered name of the scenario
    :param kits: charts that replace those of the package, by name
    :param kernel_timer: whether the kernel's timer works
    """

    scenario: str
    kits: dict[str, ChartKit]
    kernel_timer: bool = True

    def run(self, seed: int, plan: Plan) -> Verdict:
        """Run the scenario once."""
        kind = SCENARIOS.get(self.scenario)
        scenario = kind(seed, self.kits, list(plan), self.kernel_timer)
        return scenario.run()


class Cell(NamedTuple):
    """
    Verdict of one step and one fault or pair of faults.

    :param state: ``passed``, ``failed``, ``not reached`` or ``cannot occur``
    :param seed: seed of the run that decided
    :param detail: first violation, or the reason
    """

    step: Step
    faults: tuple[str, ...]
    state: str
    seed: int = 0
    detail: str = ''


def all_steps(scenario: str) -> list[Step]:
    """Return the steps of all charts of a scenario, in their order."""
    return [
        Step.of(name, transition)
        for name in SCENARIOS.get(scenario).charts
        for transition in Chart.load(name).transitions
    ]


def find_plans(settings: Settings) -> dict[Step, Plan]:
    """
    Find for each step the shortest plan that makes a process take it.

    Starts from runs without faults and brings about one fault or stimulus
    more at each step reached, until nothing new is reached.
    """
    wanted = set(all_steps(settings.scenario))
    plans: dict[Step, Plan] = {}
    frontier: list[Plan] = [()]
    for depth in range(MAX_DEPTH + 1):
        for plan in frontier:
            if wanted <= plans.keys():
                return plans
            _note_reached(settings, plan, plans)
        frontier = list(_longer(settings, plans, depth))
    return plans


def _note_reached(
    settings: Settings, plan: Plan, plans: dict[Step, Plan]
) -> None:
    seeds = BASE_SEEDS if len(plan) < 1 else BASE_SEEDS[:1]
    for seed in seeds:
        for step in sorted(settings.run(seed, plan).reached):
            plans.setdefault(step, plan)


def _longer(
    settings: Settings, plans: dict[Step, Plan], depth: int
) -> Iterator[Plan]:
    stimuli = (*SCENARIOS.get(settings.scenario).stimuli, *FAULTS.names())
    for step, plan in plans.items():
        if len(plan) == depth:
            for name in stimuli:
                if _cannot(settings.scenario, (name,)) is None:
                    for duration_ms in DURATIONS_MS[:2]:
                        injection = Injection(step, (name,), duration_ms)
                        yield (*plan, injection)


def fault_sets(pairs: bool) -> list[tuple[str, ...]]:
    """Return single faults, and pairs of faults where asked for."""
    names = FAULTS.names()
    sets: list[tuple[str, ...]] = [(name,) for name in names]
    if pairs:
        sets.extend(combinations(names, 2))
        sets.extend((name, name) for name in names)
    return sets


def run_cell(
    settings: Settings,
    step: Step,
    plan: Plan | None,
    faults: tuple[str, ...],
    seeds: tuple[int, ...],
) -> Cell:
    """Run one step with one set of faults under some seeds."""
    reason = _cannot(settings.scenario, faults)
    if reason is not None:
        return Cell(step, faults, 'cannot occur', detail=reason)
    if plan is None:
        return _unreached(settings, step, faults)
    reached = False
    for seed in seeds:
        duration = DURATIONS_MS[seed % len(DURATIONS_MS)]
        full = (*plan, Injection(step, faults, duration))
        verdict = settings.run(seed, full)
        if verdict.violations:
            return Cell(step, faults, 'failed', seed, verdict.violations[0])
        reached = reached or verdict.applied
    return Cell(step, faults, 'passed' if reached else 'not reached')


def _unreached(settings: Settings, step: Step, faults: tuple[str, ...]) -> Cell:
    reason = SCENARIOS.get(settings.scenario).unreachable.get(str(step))
    if reason is None:
        return Cell(step, faults, 'not reached')
    return Cell(step, faults, 'cannot occur', detail=reason)


def _cannot(scenario: str, faults: tuple[str, ...]) -> str | None:
    reasons = SCENARIOS.get(scenario).cannot_occur
    for name in faults:
        if name in reasons:
            return reasons[name]
    return None
