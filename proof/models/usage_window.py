"""Billing windows: two reporters and an entry that counts late."""

from collections.abc import Iterator
from typing import Any, NamedTuple

from cicadahoist.registry import Registry
from proof.kripke import Move, Property
from proof.models.base import AbstractChart, load_chart

GUARDS: Registry[Any] = Registry('abstract guard of the usage window chart')
OUTPUTS: Registry[Any] = Registry('abstract output of the usage window chart')


class Reporter(NamedTuple):
    """
    One process that may seal and report.

    :param draft: figure that it composed, none below 0
    :param figure: figure that it reports, none below 0
    :param create: ``none``, ``flying``, ``created`` or ``exists``
    """

    at: str
    draft: int = -1
    figure: int = -1
    create: str = 'none'


class State(NamedTuple):
    """
    Two reporters, the sealed figure, and what was reported.

    :param holder: who may report
    :param count: what the entry has counted
    :param passed: whether the entry has passed the end of the window
    :param reported: figures that the platform got
    """

    reporters: tuple[Reporter, Reporter]
    holder: int = 0
    count: int = 0
    passed: bool = False
    sealed: int = -1
    reported: frozenset[int] = frozenset()
    fault: str = ''


class UsageModel:
    """
    Sealing under takeover, lost answers, late writes and late counts.

    :param broken: guard taken away, as ``usage_window.guard``
    """

    def __init__(self, broken: str = '') -> None:
        chart = load_chart('usage_window', broken)
        self.chart = AbstractChart(chart, GUARDS, OUTPUTS)
        self.name = 'usage_window'
        self.properties = PROPERTIES

    def initial(self) -> State:
        """Return two reporters of an open window."""
        reporter = Reporter(self.chart.chart.initial)
        return State((reporter, reporter))

    def moves(self, state: State) -> Iterator[Move]:
        """Return all moves that are possible in a state."""
        if state.fault:
            return
        yield from self._outside_moves(state)
        for at, reporter in enumerate(state.reporters):
            for event in _events(state, at):
                transition = self.chart.find(reporter.at, event, state, at)
                if transition is None:
                    continue
                moved = put(state, at, _take(reporter, event, transition.to))
                yield Move(
                    f'r{at} {event}: {reporter.at} -> {transition.to}',
                    self.chart.run(transition, moved, at, event),
                )

    def _outside_moves(self, state: State) -> Iterator[Move]:
        yield Move('takeover', state._replace(holder=1 - state.holder))
        if state.count < 2:
            yield Move('a count', state._replace(count=state.count + 1))
        if not state.passed:
            yield Move('entry passes', state._replace(passed=True))
        for at, reporter in enumerate(state.reporters):
            if reporter.create == 'flying':
                yield Move(f'store meets figure of r{at}', _meet(state, at))


def _events(state: State, at: int) -> Iterator[str]:
    reporter = state.reporters[at]
    yield 'tick'
    yield 'figure_read'
    if state.holder != at:
        yield 'step_down'
    if reporter.create != 'none':
        yield 'create_unknown'
    if reporter.create == 'created':
        yield 'figure_created'
    if reporter.create == 'exists':
        yield 'figure_exists'
    if reporter.at == 'reporting':
        yield 'report_unknown'
        if reporter.figure in state.reported:
            yield 'report_accepted'
        if state.reported - {reporter.figure}:
            yield 'report_refused'


def _take(reporter: Reporter, event: str, at: str) -> Reporter:
    if event in {'figure_created', 'figure_exists'}:
        reporter = reporter._replace(create='none')
    return reporter._replace(at=at)


def put(state: State, at: int, reporter: Reporter) -> State:
    """Return the state with one reporter replaced."""
    reporters = list(state.reporters)
    reporters[at] = reporter
    return state._replace(reporters=(reporters[0], reporters[1]))


def _meet(state: State, at: int) -> State:
    reporter = state.reporters[at]
    if state.sealed >= 0:
        return put(state, at, reporter._replace(create='exists'))
    taken = put(state, at, reporter._replace(create='created'))
    return taken._replace(sealed=reporter.draft)


@GUARDS.register('entries_closed')
def _entries_closed(state: State, at: int) -> bool:
    return state.passed


@GUARDS.register('figure_absent')
def _figure_absent(state: State, at: int) -> bool:
    return state.sealed < 0


@GUARDS.register('may_report')
def _may_report(state: State, at: int) -> bool:
    return state.holder == at


@OUTPUTS.register('create_figure')
def _create_figure(state: State, at: int, event: str) -> State:
    drafted = state.reporters[at]._replace(draft=state.count, create='flying')
    early = '' if state.passed else 'early'
    return put(state, at, drafted)._replace(fault=early)


@OUTPUTS.register('note_figure')
def _note_figure(state: State, at: int, event: str) -> State:
    reporter = state.reporters[at]
    figure = state.sealed if event == 'figure_read' else reporter.draft
    return put(state, at, reporter._replace(figure=figure))


@OUTPUTS.register('report')
def _report(state: State, at: int, event: str) -> State:
    fault = '' if state.holder == at else 'authority'
    figure = state.reporters[at].figure
    return state._replace(reported=state.reported | {figure}, fault=fault)


@OUTPUTS.register('read_figure')
@OUTPUTS.register('raise_alarm')
def _keep(state: State, at: int, event: str) -> State:
    return state


def _never(fault: str, meaning: str) -> Property:
    return Property(
        meaning, f'A G not {fault}', {fault: lambda s: s.fault == fault}
    )


PROPERTIES = (
    Property(
        'no window is reported with different figures',
        'A G not different',
        {'different': lambda s: len(s.reported) > 1},
    ),
    _never('authority', 'only who holds the lease begins a report'),
    _never('early', 'no window is sealed before every entry has passed it'),
    Property(
        'a figure can always be reported',
        'A G (ended or E F done)',
        {
            'done': lambda s: bool(s.reported),
            'ended': lambda s: bool(s.fault),
        },
    ),
)
