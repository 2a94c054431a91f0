"""State charts, loaded from TOML files and validated."""

import tomllib
from collections.abc import Iterable
from importlib.resources import files

import msgspec

from cicadahoist.errors import ChartError


class Transition(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    One transition of a chart.

    :param source: state in which the transition applies
    :param on: event that triggers it
    :param when: guards that must all hold
    :param to: next state
    :param run: outputs to run, in order
    """

    source: str
    on: str
    to: str
    when: tuple[str, ...] = ()
    run: tuple[str, ...] = ()

    @property
    def input_name(self) -> str:
        """Name of the automat input: the event and the guards."""
        return '__'.join((self.on, *self.when))


class Chart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """
    A state chart.

    Transitions of one state and event are tried in the order of the file. An
    event that has no transition in a state is ignored there.

    :param summary_by_state: meaning of each state
    :param summary_by_guard: meaning of each guard
    """

    name: str
    initial: str
    events: tuple[str, ...]
    outputs: tuple[str, ...]
    summary_by_state: dict[str, str]
    summary_by_guard: dict[str, str]
    transitions: tuple[Transition, ...]

    @classmethod
    def load(cls, name: str) -> 'Chart':
        """
        Load a chart of this package.

        :raises ChartError: the file is invalid or inconsistent
        """
        path = files('cicadahoist.protocol') / 'charts' / f'{name}.toml'
        return cls.parse(path.read_text())

    @classmethod
    def parse(cls, text: str) -> 'Chart':
        """
        Parse a chart from TOML text.

        :raises ChartError: the text is invalid or inconsistent
        """
        try:
            chart = msgspec.convert(tomllib.loads(text), cls)
        except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
            raise ChartError(
                f'invalid chart: {error}', remedy='correct the chart file'
            ) from error
        _check_names(chart)
        _check_reachability(chart)
        return chart

    def group_by_trigger(self) -> dict[tuple[str, str], list[Transition]]:
        """Return transitions by state and event, in the order of the file."""
        grouped: dict[tuple[str, str], list[Transition]] = {}
        for transition in self.transitions:
            key = (transition.source, transition.on)
            grouped.setdefault(key, []).append(transition)
        return grouped

    def without_guard(self, guard: str) -> 'Chart':
        """
        Return this chart with one guard removed, as if it always held.

        :raises ChartError: the chart has no such guard
        """
        check_known(self, 'guard', guard, self.summary_by_guard)
        transitions: dict[tuple[str, str], Transition] = {}
        for transition in self.transitions:
            remaining = tuple(name for name in transition.when if name != guard)
            relaxed = msgspec.structs.replace(transition, when=remaining)
            key = (relaxed.source, relaxed.input_name)
            transitions.setdefault(key, relaxed)
        return msgspec.structs.replace(
            self, transitions=tuple(transitions.values())
        )


def _check_names(chart: Chart) -> None:
    states = chart.summary_by_state
    check_known(chart, 'state', chart.initial, states)
    for transition in chart.transitions:
        check_known(chart, 'state', transition.source, states)
        check_known(chart, 'state', transition.to, states)
        check_known(chart, 'event', transition.on, chart.events)
        for guard in transition.when:
            check_known(chart, 'guard', guard, chart.summary_by_guard)
        for output in transition.run:
            check_known(chart, 'output', output, chart.outputs)


def _check_reachability(chart: Chart) -> None:
    unguarded: set[tuple[str, str]] = set()
    for transition in chart.transitions:
        key = (transition.source, transition.on)
        if key in unguarded:
            raise ChartError(
                f'chart {chart.name}: a transition of {key} is never reached',
                remedy='put the transition without guards last',
            )
        if not transition.when:
            unguarded.add(key)


def check_known(
    chart: Chart, kind: str, name: str, known: Iterable[str]
) -> None:
    """
    Check that a name is declared.

    :param kind: what the name stands for, as the error message says it
    :raises ChartError: the name is not in ``known``
    """
    if name not in known:
        raise ChartError(
            f'chart {chart.name}: unknown {kind} {name!r}',
            remedy='choose one of: {0}'.format(', '.join(sorted(known))),
        )
