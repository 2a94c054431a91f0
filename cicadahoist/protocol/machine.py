"""Run state charts as automat state machines."""

import copy
import re
from collections.abc import Callable
from types import new_class
from typing import Any, Protocol

from automat import TypeMachineBuilder

from cicadahoist.protocol.chart import Chart, Transition, check_known
from cicadahoist.registry import Registry

Guard = Callable[[Any, Any, int], bool]
Output = Callable[[Any, Any, int], None]
Observer = Callable[[Transition], None]

_WORD_START = re.compile('(?<!^)(?=[A-Z])')


class ChartKit:
    """
    A chart bound to the functions of its guards and outputs.

    :param chart: the chart
    :param guards: guard functions by name
    :param outputs: output functions by name
    :raises ChartError: the chart names an unregistered guard or output
    """

    __slots__ = (
        '_by_trigger',
        '_guards',
        '_machine',
        '_observer',
        '_outputs',
        'chart',
    )

    def __init__(
        self, chart: Chart, guards: Registry[Guard], outputs: Registry[Output]
    ) -> None:
        for guard in chart.summary_by_guard:
            check_known(chart, 'guard', guard, guards.names())
        for output in chart.outputs:
            check_known(chart, 'output', output, outputs.names())
        self.chart = chart
        self._guards = guards
        self._outputs = outputs
        self._machine = _build_machine(chart)
        self._by_trigger = chart.group_by_trigger()
        self._observer: Observer | None = None

    @classmethod
    def load(
        cls, name: str, guards: Registry[Guard], outputs: Registry[Output]
    ) -> 'ChartKit':
        """Load a chart of this package and bind it to its functions."""
        return cls(Chart.load(name), guards, outputs)

    def without_guard(self, guard: str) -> 'ChartKit':
        """Return a kit in which one guard always holds."""
        chart = self.chart.without_guard(guard)
        return ChartKit(chart, self._guards, self._outputs)

    def with_observer(self, observer: Observer) -> 'ChartKit':
        """Return a kit that reports each transition before its outputs run."""
        observed = copy.copy(self)
        observed._observer = observer  # noqa: SLF001
        return observed

    def start(self, core: Any) -> 'ChartRunner':
        """
        Return a machine in the initial state.

        :param core: first argument of every guard and output
        """
        runner = ChartRunner(self, core, self._observer)
        runner.inputs = self._machine(runner)
        return runner

    def find_transitions(self, state: str, event: str) -> list[Transition]:
        """Return the transitions of a state and event in order of priority."""
        return self._by_trigger.get((state, event), [])

    def is_allowed(
        self, transition: Transition, core: Any, event: Any, now_ms: int
    ) -> bool:
        """Return whether all guards of a transition hold."""
        return all(
            self._guards.get(name)(core, event, now_ms)
            for name in transition.when
        )

    def run_outputs(
        self, transition: Transition, core: Any, event: Any, now_ms: int
    ) -> None:
        """Run the outputs of a transition in order."""
        for name in transition.run:
            self._outputs.get(name)(core, event, now_ms)


class ChartRunner:
    """
    One running instance of a chart.

    :param kit: the chart and its functions
    :param core: first argument of every guard and output
    :param observer: called with each transition
    """

    __slots__ = ('_observer', 'core', 'inputs', 'kit', 'state')

    def __init__(
        self, kit: ChartKit, core: Any, observer: Observer | None
    ) -> None:
        self.kit = kit
        self.core = core
        self.state = kit.chart.initial
        self.inputs: Any = None
        self._observer = observer

    def dispatch(self, event: Any, now_ms: int) -> bool:
        """
        Take the first transition for the event whose guards hold.

        :return: whether a transition was taken
        """
        for transition in self.kit.find_transitions(
            self.state, event_name(event)
        ):
            if self.kit.is_allowed(transition, self.core, event, now_ms):
                take = getattr(self.inputs, transition.input_name)
                take(event, now_ms)
                return True
        return False

    def enter(self, transition: Transition, event: Any, now_ms: int) -> None:
        """Enter a transition's next state and run its outputs."""
        self.state = transition.to
        if self._observer is not None:
            self._observer(transition)
        self.kit.run_outputs(transition, self.core, event, now_ms)


class ChartCore:
    """
    Base class of state machines: state and pending actions of one chart.

    The caller passes in events and carries out the returned actions in order.

    :param kit: chart and functions to run
    """

    __slots__ = ('actions', 'runner')

    def __init__(self, kit: ChartKit) -> None:
        self.actions: list[Any] = []
        self.runner = kit.start(self)

    @property
    def state(self) -> str:
        """Current state of the chart."""
        return self.runner.state

    def handle(self, event: Any, now_ms: int) -> list[Any]:
        """
        Process an event.

        :param now_ms: clock reading, taken before the actions run
        :return: actions to carry out in order
        """
        self.runner.dispatch(event, now_ms)
        actions = self.actions
        self.actions = []
        return actions


def event_name(event: Any) -> str:
    """Return the name of an event in charts: its class in snake case."""
    return _WORD_START.sub('_', type(event).__name__).lower()


def _build_machine(chart: Chart) -> Callable[[ChartRunner], Any]:
    names = {transition.input_name for transition in chart.transitions}
    inputs = _build_input_protocol(sorted(names))
    builder: Any = TypeMachineBuilder(inputs, ChartRunner)
    states = {chart.initial: builder.state(chart.initial)}
    for state in chart.summary_by_state:
        if state != chart.initial:
            states[state] = builder.state(state)
    for transition in chart.transitions:
        symbol = getattr(inputs, transition.input_name)
        route = states[transition.source].upon(symbol)
        route.to(states[transition.to])(_make_entry_method(transition))
    return builder.build()


def _make_entry_method(transition: Transition) -> Callable[..., None]:
    def enter(
        inputs: Any, runner: ChartRunner, event: Any, now_ms: int
    ) -> None:
        runner.enter(transition, event, now_ms)

    return enter


def _build_input_protocol(names: list[str]) -> Any:
    members: dict[str, Any] = {
        name: _build_input_method(name) for name in names
    }
    return new_class(
        'Inputs', (Protocol,), {}, lambda body: body.update(members)
    )


def _build_input_method(name: str) -> Callable[..., None]:
    def method(self: Any, event: Any, now_ms: int) -> None:
        """Pass an event to the machine."""

    method.__name__ = name
    method.__qualname__ = f'Inputs.{name}'
    return method
