"""What all scenarios share: steps, injections and the run itself."""

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
    What is brought about when a process next takes a step.

    :param repeated: whether this repeats an earlier injection, and may be
        left out where the step is not taken again
    """

    step: Step
    names: tuple[str, ...]
    duration_ms: int
    is_repeat: bool = False


class Verdict(NamedTuple):
    """
    Outcome of one run.

    :param reached: steps that some process took
    :param applied: whether every injection was brought about
    :param violations: invariants that did not hold
    """

    reached_steps: frozenset[Step]
    is_plan_applied: bool
    violations: tuple[str, ...]


class Scenario:
    """
    Base of scenarios: some processes, a store, and what else they meet.

    :param seed: all random choices come from it
    :param kits: charts that replace those of the package, by name
    :param plan: injections, brought about one after the other
    :param kernel_timer: whether the kernel's timer works
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
        """Run until every injection was made and healed."""
        try:
            is_plan_applied = self._run()
        except Exception as error:  # A crash of a process is a finding too.
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
        """Return the kit that a process follows, its steps observed."""
        chart = kit.chart.name

        def observe(transition: Transition) -> None:
            self._on_step(node, Step.of(chart, transition))

        return self.kit_by_chart.get(chart, kit).with_observer(observe)

    def check_progress(self, since_ms: int) -> None:
        """Record a violation where nothing goes on after all healed."""

    def check_end(self) -> None:
        """Record a violation of what must hold at the end."""

    def race_operators(self, node: Node) -> None:
        """Let two operators act at once."""

    def reclaim_target(self, node: Node) -> None:
        """Take a target away."""

    def choose_victim(self, node: Node) -> Node:
        """Return the process that a fault meets when a process takes a step."""
        return node

    def stimulate(self, name: str, node: Node) -> None:
        """Bring about something that is no fault."""

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
