"""Runs every fault at every step and gathers the verdicts."""

from collections.abc import Iterator
from functools import cache
from itertools import combinations
from typing import NamedTuple

from cicadahoist.protocol.chart import Chart
from cicadahoist.protocol.machine import ChartKit
from proof.faults import DURATIONS_MS, FAULTS
from proof.kits import KERNEL_TIMER, KITS
from proof.scenario import SCENARIOS, Injection, Step, Verdict

MAX_DEPTH = 3
BASE_SEEDS = (0, 1, 2)

Plan = tuple[Injection, ...]


class Settings(NamedTuple):
    """
    What the runs of a matrix have in common.

    :param scenario: registered name of the scenario
    :param broken: guards that are taken away; ``KERNEL_TIMER`` is one
    """

    scenario: str
    broken: tuple[str, ...] = ()

    def run(self, seed: int, plan: Plan) -> Verdict:
        """Run the scenario once."""
        kind = SCENARIOS.get(self.scenario)
        kits = weaken(kind.charts, self.broken)
        timer = KERNEL_TIMER not in self.broken
        return kind(seed, kits, list(plan), timer).run()


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


@cache
def weaken(
    charts: tuple[str, ...], broken: tuple[str, ...]
) -> dict[str, ChartKit]:
    """Return the kits of charts, with guards ``chart.guard`` taken away."""
    kits = {name: KITS[name] for name in charts}
    for full_name in broken:
        chart, _, guard = full_name.partition('.')
        if chart in kits:
            kits[chart] = kits[chart].without_guard(guard)
    return kits


def all_guards(scenario: str) -> list[str]:
    """Return all guards of a scenario's charts, as ``chart.guard``."""
    return [
        f'{name}.{guard}'
        for name in SCENARIOS.get(scenario).charts
        for guard in Chart.load(name).summary_by_guard
    ]


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
    rare = SCENARIOS.get(settings.scenario).stimuli
    chancy = not plan or plan[-1].names[0] in rare
    for seed in BASE_SEEDS if chancy else BASE_SEEDS[:1]:
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
    """
    Run one step with one set of faults under some seeds.

    Where the step is reached under none of them, other seeds are tried.
    """
    reason = _cannot(settings.scenario, faults)
    if reason is not None:
        return Cell(step, faults, 'cannot occur', detail=reason)
    if plan is None:
        return _unreached(settings, step, faults)
    reached = False
    others = tuple(seed for seed in BASE_SEEDS if seed not in seeds)
    for seed in (*seeds, *others):
        if reached and seed in others:
            break
        duration = DURATIONS_MS[seed % len(DURATIONS_MS)]
        verdict = settings.run(seed, (*plan, *_inject(step, faults, duration)))
        if verdict.violations:
            return Cell(step, faults, 'failed', seed, verdict.violations[0])
        reached = reached or verdict.applied
    return Cell(step, faults, 'passed' if reached else 'not reached')


def find_failure(
    settings: Settings, plans: dict[Step, Plan], seeds: tuple[int, ...]
) -> Cell | None:
    """Return the first cell of a single fault that fails, if any does."""
    for faults in fault_sets(pairs=False):
        for step, plan in plans.items():
            cell = run_cell(settings, step, plan, faults, seeds)
            if cell.state == 'failed':
                return cell
    return None


def _inject(step: Step, faults: tuple[str, ...], duration_ms: int) -> Plan:
    if len(set(faults)) == len(faults):
        return (Injection(step, faults, duration_ms),)
    once = Injection(step, faults[:1], duration_ms)
    return (once, once._replace(repeated=True))


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
