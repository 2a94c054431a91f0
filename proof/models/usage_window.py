"""Billing windows: two reporters, and an entry that may count usage late."""

from collections.abc import Iterator
from typing import Any, NamedTuple

from cicadahoist.registry import Registry
from proof.kripke import Move, Property
from proof.models.base import AbstractChart, load_chart

GUARDS: Registry[Any] = Registry('abstract guard of the usage window chart')
OUTPUTS: Registry[Any] = Registry('abstract output of the usage window chart')


class Reporter(NamedTuple):
    """
    One process that may seal and report a figure.

    :param draft: figure that it composed, below 0 for none
    :param figure: figure that it reports, below 0 for none
    :param create: state of the figure's creation: ``none``, ``flying``,
        ``created`` or ``exists``
    """

    chart_state: str
    draft: int = -1
    figure: int = -1
    create: str = 'none'


class State(NamedTuple):
    """
    Two reporters, the sealed figure, and the reported figures.

    :param holder: reporter that holds the lease and may report
    :param counted: usage that the entry has counted
    :param is_entry_closed: whether the entry has closed its count of the
        window
    :param sealed_figure: figure in the store, below 0 for none
    :param reported: figures that the platform received
    :param fault: violated property, if any
    """

    reporters: tuple[Reporter, Reporter]
    holder: int = 0
    counted: int = 0
    is_entry_closed: bool = False
    sealed_figure: int = -1
    reported: frozenset[int] = frozenset()
    fault: str = ''


class UsageModel:
    """
    Sealing under takeover, lost answers, late writes and late counts.

    :param broken: removed guard, as ``usage_window.guard``
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
        for index, reporter in enumerate(state.reporters):
            for event in _list_events(state, index):
                transition = self.chart.find(
                    reporter.chart_state, event, state, index
                )
                if transition is None:
                    continue
                moved = replace_reporter(
                    state, index, _take_answer(reporter, event, transition.to)
                )
                yield Move(
                    f'r{index} {event}: '
                    f'{reporter.chart_state} -> {transition.to}',
                    self.chart.run(transition, moved, index, event),
                )

    def _outside_moves(self, state: State) -> Iterator[Move]:
        yield Move('takeover', state._replace(holder=1 - state.holder))
        if state.counted < 2:
            yield Move(
                'entry counts usage', state._replace(counted=state.counted + 1)
            )
        if not state.is_entry_closed:
            yield Move(
                'entry closes its count', state._replace(is_entry_closed=True)
            )
        for index, reporter in enumerate(state.reporters):
            if reporter.create == 'flying':
                yield Move(
                    f'store processes the figure of r{index}',
                    _apply_create(state, index),
                )


def _list_events(state: State, index: int) -> Iterator[str]:
    reporter = state.reporters[index]
    yield 'tick'
    yield 'figure_read'
    if state.holder != index:
        yield 'step_down'
    if reporter.create != 'none':
        yield 'create_unknown'
    if reporter.create == 'created':
        yield 'figure_created'
    if reporter.create == 'exists':
        yield 'figure_exists'
    if reporter.chart_state == 'reporting':
        yield 'report_unknown'
        if reporter.figure in state.reported:
            yield 'report_accepted'
        if state.reported - {reporter.figure}:
            yield 'report_refused'


def _take_answer(reporter: Reporter, event: str, next_state: str) -> Reporter:
    if event in {'figure_created', 'figure_exists'}:
        reporter = reporter._replace(create='none')
    return reporter._replace(chart_state=next_state)


def replace_reporter(state: State, index: int, reporter: Reporter) -> State:
    """Return the state with one reporter replaced."""
    reporters = list(state.reporters)
    reporters[index] = reporter
    return state._replace(reporters=(reporters[0], reporters[1]))


def _apply_create(state: State, index: int) -> State:
    reporter = state.reporters[index]
    if state.sealed_figure >= 0:
        return replace_reporter(
            state, index, reporter._replace(create='exists')
        )
    taken = replace_reporter(state, index, reporter._replace(create='created'))
    return taken._replace(sealed_figure=reporter.draft)


@GUARDS.register('entries_closed')
def _entries_closed(state: State, index: int) -> bool:
    return state.is_entry_closed


@GUARDS.register('figure_absent')
def _figure_absent(state: State, index: int) -> bool:
    return state.sealed_figure < 0


@GUARDS.register('may_report')
def _may_report(state: State, index: int) -> bool:
    return state.holder == index


@OUTPUTS.register('create_figure')
def _create_figure(state: State, index: int, event: str) -> State:
    drafted = state.reporters[index]._replace(
        draft=state.counted, create='flying'
    )
    early = '' if state.is_entry_closed else 'early'
    return replace_reporter(state, index, drafted)._replace(fault=early)


@OUTPUTS.register('note_figure')
def _note_figure(state: State, index: int, event: str) -> State:
    reporter = state.reporters[index]
    figure = state.sealed_figure if event == 'figure_read' else reporter.draft
    return replace_reporter(state, index, reporter._replace(figure=figure))


@OUTPUTS.register('report')
def _report(state: State, index: int, event: str) -> State:
    fault = '' if state.holder == index else 'authority'
    figure = state.reporters[index].figure
    return state._replace(reported=state.reported | {figure}, fault=fault)


@OUTPUTS.register('read_figure')
@OUTPUTS.register('raise_alarm')
def _keep_state(state: State, index: int, event: str) -> State:
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
    _never('authority', 'only the holder of the lease starts a report'),
    _never('early', 'no window is sealed before every entry has closed it'),
    Property(
        'a figure can always be reported',
        'A G (ended or E F done)',
        {
            'done': lambda s: bool(s.reported),
            'ended': lambda s: bool(s.fault),
        },
    ),
)
