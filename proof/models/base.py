"""What all models share: charts whose guards and outputs are abstract."""

from collections.abc import Callable
from typing import Any

from cicadahoist.protocol.chart import Chart, Transition
from cicadahoist.registry import Registry

AbstractGuard = Callable[..., bool]
AbstractOutput = Callable[..., Any]


class AbstractChart:
    """
    A chart with the meaning that a model gives to its guards and outputs.

    :param chart: the chart
    :param guards: tells for a state of the model whether a guard holds
    :param outputs: returns the state of the model after an output
    """

    def __init__(
        self,
        chart: Chart,
        guards: Registry[AbstractGuard],
        outputs: Registry[AbstractOutput],
    ) -> None:
        for guard in chart.summary_by_guard:
            guards.get(guard)
        for output in chart.outputs:
            outputs.get(output)
        self.chart = chart
        self._guards = guards
        self._outputs = outputs
        self._by_trigger = chart.group_by_trigger()

    def find(self, at: str, event: str, *context: Any) -> Transition | None:
        """Return the transition that is taken, or none."""
        for transition in self._by_trigger.get((at, event), []):
            if all(
                self._guards.get(name)(*context) for name in transition.when
            ):
                return transition
        return None

    def run(self, transition: Transition, state: Any, *context: Any) -> Any:
        """Return the state after the outputs of a transition."""
        for name in transition.run:
            state = self._outputs.get(name)(state, *context)
        return state


def load_chart(name: str, broken: str) -> Chart:
    """Load a chart, with the guard ``chart.guard`` taken away if it is its."""
    chart = Chart.load(name)
    owner, _, guard = broken.partition('.')
    if owner == name:
        return chart.without_guard(guard)
    return chart
