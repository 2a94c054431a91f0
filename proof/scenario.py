"""Base class of scenarios, with steps, injections and verdicts."""

from typing import Any, NamedTuple

from cicadahoist.protocol.chart import Transition
from cicadahoist.protocol.machine import ChartKit
from cicadahoist.registry import Registry
from proof.faults import FAULTS
from proof.store import FakeStore
from proof.world import Node, World

REACH_LIMIT_MS = 20_000
SETTLE_MS = 14_000
PROGRESS_WINDOW_MS = 5000
TICK_MS = 100

SCENARIOS: Registry[Any] = Registry('scenario')


class Step(NamedTuple):
    """A transition of a chart."""

    chart: str
    source: str
    input_name: str
    to: str

    @classmethod
    def of(cls, chart: str, transition: Transition) -> 'Step':
        return cls(
            chart, transition.source, transition.input_name, transition.to
        )

    def __str__(self) -> str:
        return f'{self.chart}: {self.source} --{self.input_name}--> {self.to}'


class Injection(NamedTuple):
    """
    Faults or stimuli to bring about when a process next takes a step.

    :param is_repeat: whether this repeats an earlier injection; the run counts
        as applied even if the step is not taken again
    """

    step: Step
    names: tuple[str, ...]
    duration_ms: int
    is_repeat: bool = False


class Verdict(NamedTuple):
    """
    Result of one run.

    :param reached_steps: steps that some process took
    :param is_plan_applied: whether every injection took place
    :param violations: invariants that did not hold, in order of time
    """

    reached_steps: frozenset[Step]
    is_plan_applied: bool
    violations: tuple[str, ...]


class Scenario:
    """
    Base class of scenarios: processes, a store and their environment.

    :param seed: seed of all random choices
    :param kit_by_chart: kits that replace those of the package
    :param plan: injections, applied one after the other
    :param has_kernel_timer: whether the kernel's timer works
    """

    chart_names: tuple[str, ...] = ()
    reason_by_impossible_fault: dict[str, str] = {}
    stimuli: tuple[str, ...] = ()
    reason_by_unreachable_step: dict[str, str] = {}

    def __init__(
        self,
        seed: int,
        kit_by_chart: dict[str, ChartKit],
        plan: list[Injection],
        has_kernel_timer: bool = True,
    ) -> None:
        self.seed = seed
        self.world = World(seed)
        self.store = FakeStore(self.world)
        self.kit_by_chart = kit_by_chart
        self.plan = list(plan)
        self.has_kernel_timer = has_kernel_timer
        self.reached_steps: set[Step] = set()
        self.nodes: list[Node] = []

    def run(self) -> Verdict:
        """Run until every injection is applied and its faults have healed."""
        try:
            is_plan_applied = self._run()
        except Exception as error:  # A crash is a violation, too.
            self.world.record_violation(f'crash: {error!r}')
            is_plan_applied = not self.plan
        return Verdict(
            frozenset(self.reached_steps),
            is_plan_applied,
            tuple(self.world.violations),
        )

    def _run(self) -> bool:
        world = self.world
        for node in self.nodes:
            node.has_kernel_timer = self.has_kernel_timer
            node.start()
        while self.plan and world.now_ms < REACH_LIMIT_MS:
            world.run_until(world.now_ms + TICK_MS)
        if all(injection.is_repeat for injection in self.plan):
            self.plan = []
        is_plan_applied = not self.plan
        world.run_until(world.now_ms + SETTLE_MS)
        if is_plan_applied:
            self.check_progress(world.now_ms - PROGRESS_WINDOW_MS)
        self.check_end()
        return is_plan_applied

    def bind_kit(self, node: Node, kit: ChartKit) -> ChartKit:
        """Return the kit for a process, with an observer of its steps."""
        chart = kit.chart.name

        def observe(transition: Transition) -> None:
            self._on_step(node, Step.of(chart, transition))

        return self.kit_by_chart.get(chart, kit).with_observer(observe)

    def check_progress(self, since_ms: int) -> None:
        """Record a violation if there is no progress since a time."""

    def check_end(self) -> None:
        """Record a violation if an invariant fails at the end of the run."""

    def race_operators(self, node: Node) -> None:
        """Let two operators act at the same time."""

    def reclaim_target(self, node: Node) -> None:
        """Let the platform reclaim a target."""

    def choose_victim(self, node: Node) -> Node:
        """Return the process that a fault affects at a step of a process."""
        return node

    def stimulate(self, name: str, node: Node) -> None:
        """Bring about an event that is no fault of the matrix."""

    def _on_step(self, node: Node, step: Step) -> None:
        self.reached_steps.add(step)
        if not self.plan or self.plan[0].step != step:
            return
        injection = self.plan.pop(0)
        for name in injection.names:
            if name in self.stimuli:
                self.stimulate(name, node)
            else:
                affected_node = self.choose_victim(node)
                FAULTS.get(name)(self, affected_node, injection.duration_ms)
