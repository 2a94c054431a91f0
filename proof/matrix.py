"""Runs every fault at every step and collects the verdicts."""

from collections.abc import Iterator
from functools import cache
from itertools import combinations
from typing import NamedTuple

from cicadahoist.protocol.chart import Chart
from cicadahoist.protocol.machine import ChartKit
from proof.faults import DURATIONS_MS, FAULTS
from proof.kits import KERNEL_TIMER, KIT_BY_CHART
from proof.scenario import SCENARIOS, Injection, Step, Verdict

MAX_DEPTH = 3
BASE_SEEDS = (0, 1, 2)

Plan = tuple[Injection, ...]


class RunSettings(NamedTuple):
    """
    Settings that all runs of a matrix share.

    :param scenario: registered name of the scenario
    :param removed_guards: removed guards as ``chart.guard``, or
        ``KERNEL_TIMER``
    """

    scenario: str
    removed_guards: tuple[str, ...] = ()

    def run(self, seed: int, plan: Plan) -> Verdict:
        """Run the scenario once with a plan of injections."""
        scenario_class = SCENARIOS.get(self.scenario)
        kit_by_chart = build_kits_without(
            scenario_class.chart_names, self.removed_guards
        )
        has_kernel_timer = KERNEL_TIMER not in self.removed_guards
        return scenario_class(
            seed, kit_by_chart, list(plan), has_kernel_timer
        ).run()


class Cell(NamedTuple):
    """
    Verdict on one step with one fault or a pair of faults.

    :param state: ``passed``, ``failed``, ``not reached`` or ``cannot occur``
    :param seed: seed of the run that failed
    :param detail: first violation, or why the faults cannot occur
    """

    step: Step
    faults: tuple[str, ...]
    state: str
    seed: int = 0
    detail: str = ''


@cache
def build_kits_without(
    chart_names: tuple[str, ...], removed_guards: tuple[str, ...]
) -> dict[str, ChartKit]:
    """Return the kits of charts without the guards given as ``chart.guard``."""
    kit_by_chart = {name: KIT_BY_CHART[name] for name in chart_names}
    for full_name in removed_guards:
        chart, _, guard = full_name.partition('.')
        if chart in kit_by_chart:
            kit_by_chart[chart] = kit_by_chart[chart].without_guard(guard)
    return kit_by_chart


def list_guards(scenario: str) -> list[str]:
    """Return all guards of a scenario's charts, as ``chart.guard``."""
    return [
        f'{name}.{guard}'
        for name in SCENARIOS.get(scenario).chart_names
        for guard in Chart.load(name).summary_by_guard
    ]


def list_steps(scenario: str) -> list[Step]:
    """Return the steps of all charts of a scenario in chart order."""
    return [
        Step.of(name, transition)
        for name in SCENARIOS.get(scenario).chart_names
        for transition in Chart.load(name).transitions
    ]


def find_plans(settings: RunSettings) -> dict[Step, Plan]:
    """
    Find for each step the shortest plan that makes a process take it.

    A breadth-first search from runs without faults. Each round injects one
    more fault or stimulus at each step that the previous round reached, up to
    ``MAX_DEPTH`` injections.
    """
    required_steps = set(list_steps(settings.scenario))
    plan_by_step: dict[Step, Plan] = {}
    frontier: list[Plan] = [()]
    for depth in range(MAX_DEPTH + 1):
        for plan in frontier:
            if required_steps <= plan_by_step.keys():
                return plan_by_step
            _record_reached_steps(settings, plan, plan_by_step)
        frontier = list(_extend_plans(settings, plan_by_step, depth))
    return plan_by_step


def _record_reached_steps(
    settings: RunSettings, plan: Plan, plan_by_step: dict[Step, Plan]
) -> None:
    stimuli = SCENARIOS.get(settings.scenario).stimuli
    depends_on_seed = not plan or plan[-1].names[0] in stimuli
    for seed in BASE_SEEDS if depends_on_seed else BASE_SEEDS[:1]:
        for step in sorted(settings.run(seed, plan).reached_steps):
            plan_by_step.setdefault(step, plan)


def _extend_plans(
    settings: RunSettings, plan_by_step: dict[Step, Plan], depth: int
) -> Iterator[Plan]:
    stimuli = (*SCENARIOS.get(settings.scenario).stimuli, *FAULTS.names())
    for step, plan in plan_by_step.items():
        if len(plan) == depth:
            for name in stimuli:
                if _find_impossible_reason(settings.scenario, (name,)) is None:
                    for duration_ms in DURATIONS_MS[:2]:
                        injection = Injection(step, (name,), duration_ms)
                        yield (*plan, injection)


def list_fault_sets(pairs: bool) -> list[tuple[str, ...]]:
    """Return all single faults and, with ``pairs``, all pairs of faults."""
    names = FAULTS.names()
    sets: list[tuple[str, ...]] = [(name,) for name in names]
    if pairs:
        sets.extend(combinations(names, 2))
        sets.extend((name, name) for name in names)
    return sets


def run_cell(
    settings: RunSettings,
    step: Step,
    plan: Plan | None,
    faults: tuple[str, ...],
    seeds: tuple[int, ...],
) -> Cell:
    """
    Run one step with one set of faults, once for each seed.

    The remaining base seeds are run only while no run has reached the step.
    """
    reason = _find_impossible_reason(settings.scenario, faults)
    if reason is not None:
        return Cell(step, faults, 'cannot occur', detail=reason)
    if plan is None:
        return _make_unreached_cell(settings, step, faults)
    is_reached = False
    fallback_seeds = tuple(seed for seed in BASE_SEEDS if seed not in seeds)
    for seed in (*seeds, *fallback_seeds):
        if is_reached and seed in fallback_seeds:
            break
        duration_ms = DURATIONS_MS[seed % len(DURATIONS_MS)]
        verdict = settings.run(
            seed, (*plan, *_build_injections(step, faults, duration_ms))
        )
        if verdict.violations:
            return Cell(step, faults, 'failed', seed, verdict.violations[0])
        is_reached = is_reached or verdict.is_plan_applied
    return Cell(step, faults, 'passed' if is_reached else 'not reached')


def find_failure(
    settings: RunSettings,
    plan_by_step: dict[Step, Plan],
    seeds: tuple[int, ...],
) -> Cell | None:
    """Return the first cell of a single fault that fails, or none."""
    for faults in list_fault_sets(pairs=False):
        for step, plan in plan_by_step.items():
            cell = run_cell(settings, step, plan, faults, seeds)
            if cell.state == 'failed':
                return cell
    return None


def _build_injections(
    step: Step, faults: tuple[str, ...], duration_ms: int
) -> Plan:
    if len(set(faults)) == len(faults):
        return (Injection(step, faults, duration_ms),)
    first = Injection(step, faults[:1], duration_ms)
    return (first, first._replace(is_repeat=True))


def _make_unreached_cell(
    settings: RunSettings, step: Step, faults: tuple[str, ...]
) -> Cell:
    reason = SCENARIOS.get(settings.scenario).reason_by_unreachable_step.get(
        str(step)
    )
    if reason is None:
        return Cell(step, faults, 'not reached')
    return Cell(step, faults, 'cannot occur', detail=reason)


def _find_impossible_reason(
    scenario: str, faults: tuple[str, ...]
) -> str | None:
    reasons = SCENARIOS.get(scenario).reason_by_impossible_fault
    for name in faults:
        if name in reasons:
            return reasons[name]
    return None
