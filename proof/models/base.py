"""Shared by all models: charts with abstract guards and outputs."""

from collections.abc import Callable
from typing import Any

from cicadahoist.protocol.chart import Chart, Transition
from cicadahoist.registry import Registry

AbstractGuard = Callable[..., bool]
AbstractOutput = Callable[..., Any]


class AbstractChart:
    """
    A chart bound to a model's abstract guards and outputs.

    :param chart: the chart
    :param guards: functions that return whether a guard holds in a state of
        the model
    :param outputs: functions that return the model's state after an output
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

    def find(
        self, chart_state: str, event: str, *context: Any
    ) -> Transition | None:
        """Return the first transition whose guards hold, if any."""
        for transition in self._by_trigger.get((chart_state, event), []):
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
    """
    Load a chart, without the removed guard if that belongs to it.

    :param broken: name of the guard as ``chart.guard``, empty for none
    """
    chart = Chart.load(name)
    owner, _, guard = broken.partition('.')
    if owner == name:
        return chart.without_guard(guard)
    return chart
