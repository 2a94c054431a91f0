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
QUIET_MS = 5000
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
    repeated: bool = False


class Verdict(NamedTuple):
    """
    Outcome of one run.

    :param reached: steps that some process took
    :param applied: whether every injection was brought about
    :param violations: invariants that did not hold
    """

    reached: frozenset[Step]
    applied: bool
    violations: tuple[str, ...]


class Scenario:
    """
    Base of scenarios: some processes, a store, and what else they meet.

    :param seed: all random choices come from it
    :param kits: charts that replace those of the package, by name
    :param plan: injections, brought about one after the other
    :param kernel_timer: whether the kernel's timer works
    """

    charts: tuple[str, ...] = ()
    cannot_occur: dict[str, str] = {}
    stimuli: tuple[str, ...] = ()
    unreachable: dict[str, str] = {}

    def __init__(
        self,
        seed: int,
        kits: dict[str, ChartKit],
        plan: list[Injection],
        kernel_timer: bool = True,
    ) -> None:
        self.seed = seed
        self.world = World(seed)
        self.store = FakeStore(self.world)
        self.kits = kits
        self.plan = list(plan)
        self.kernel_timer = kernel_timer
        self.reached: set[Step] = set()
        self.nodes: list[Node] = []

    def run(self) -> Verdict:
        """Run until every injection was made and healed."""
        try:
            applied = self._run()
        except Exception as error:  # A crash of a process is a finding too.
            self.world.violate(f'crash: {error!r}')
            applied = not self.plan
        return Verdict(
            frozenset(self.reached), applied, tuple(self.world.violations)
        )

    def _run(self) -> bool:
        world = self.world
        for node in self.nodes:
            node.timer_works = self.kernel_timer
            node.start()
        while self.plan and world.now_ms < REACH_LIMIT_MS:
            world.run(world.now_ms + TICK_MS)
        if all(injection.repeated for injection in self.plan):
            self.plan = []
        applied = not self.plan
        world.run(world.now_ms + SETTLE_MS)
        if applied:
            self.check_progress(world.now_ms - QUIET_MS)
        self.check_end()
        return applied

    def kit(self, node: Node, kit: ChartKit) -> ChartKit:
        """Return the kit that a process follows, its steps observed."""
        chart = kit.chart.name

        def observe(transition: Transition) -> None:
            self._on_step(node, Step.of(chart, transition))

        return self.kits.get(chart, kit).with_observer(observe)

    def check_progress(self, since_ms: int) -> None:
        """Record a violation where nothing goes on after all healed."""

    def check_end(self) -> None:
        """Record a violation of what must hold at the end."""

    def race(self, node: Node) -> None:
        """Let two operators act at once."""

    def reclaim(self, node: Node) -> None:
        """Take a target away."""

    def victim(self, node: Node) -> Node:
        """Return the process that a fault meets when a process takes a step."""
        return node

    def stimulate(self, name: str, node: Node) -> None:
        """Bring about something that is no fault."""

    def _on_step(self, node: Node, step: Step) -> None:
        self.reached.add(step)
        if not self.plan or self.plan[0].step != step:
            return
        injection = self.plan.pop(0)
        for name in injection.names:
            if name in self.stimuli:
                self.stimulate(name, node)
            else:
                victim = self.victim(node)
                FAULTS.get(name)(self, victim, injection.duration_ms)
