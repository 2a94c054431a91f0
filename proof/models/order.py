"""Orders to one target by a holder and its successor."""

from collections.abc import Iterator
from typing import Any, NamedTuple

from cicadahoist.registry import Registry
from proof.kits import KERNEL_TIMER
from proof.kripke import Move, Property
from proof.models.base import AbstractChart, load_chart

TERM = 3
USABLE = 2
BOUND = 1
MAX_EPOCH = 2
SAFE_TEXT = ''

GUARDS: Registry[Any] = Registry('abstract guard of the order chart')
OUTPUTS: Registry[Any] = Registry('abstract output of the order chart')


class Entry(NamedTuple):
    """A journal entry; numbers of orders alternate between 0 and 1."""

    number: int
    epoch: int
    open: bool


class State(NamedTuple):
    """
    The holder, its journal, and the target.

    :param holding: whether the process has not stepped down
    :param left: what is left of the term
    :param gap: time since the end of the term
    :param draft: entry that is to be written
    :param about: order that was checked and not yet sent
    :param since: time since the order was surely sent
    :param asked: whether the target's state was asked for
    :param wires: orders on their way, with the time for which they may be
    :param got: numbers and epochs of orders that the target took
    :param answers: answers on their way, late ones included
    :param bad: what went wrong, if anything
    """

    at: str
    holding: bool = True
    epoch: int = 1
    left: int = TERM
    gap: int = 0
    current: Entry = Entry(0, 1, open=False)
    journal: Entry = Entry(0, 1, open=False)
    draft: Entry | None = None
    about: Entry | None = None
    since: int = 0
    asked: bool = False
    wires: frozenset[tuple[Entry, int]] = frozenset()
    got: frozenset[tuple[int, int]] = frozenset()
    busy: bool = False
    answers: frozenset[tuple[str, tuple[int, int]]] = frozenset()
    bad: str = SAFE_TEXT


class OrderModel:
    """
    Orders under pauses, lost answers, takeover and slow targets.

    :param broken: guard taken away, as ``order.guard`` or ``KERNEL_TIMER``
    :param fencing: whether the target refuses old fencing numbers
    """

    def __init__(self, broken: str = '', fencing: bool = False) -> None:
        chart = load_chart('order', broken)
        self.chart = AbstractChart(chart, GUARDS, OUTPUTS)
        self.fencing = fencing
        self.kernel_timer = broken != KERNEL_TIMER
        self.name = 'order, target {0} fences'.format(
            'with' if fencing else 'without'
        )
        self.properties = PROPERTIES

    def initial(self) -> State:
        """Return a holder at the start of its term, nothing ordered."""
        return State(self.chart.chart.initial)

    def moves(self, state: State) -> Iterator[Move]:
        """Return all moves that are possible in a state."""
        if state.bad:
            return
        yield Move('time passes', self._pass_time(state))
        yield from self._target_moves(state)
        if state.about is not None:
            yield Move('sends', _send_now(state))
            return
        if state.gap >= BOUND and state.epoch < MAX_EPOCH:
            yield Move('successor wins', self._take_over(state))
        if state.draft is not None and state.holding:
            written = state._replace(journal=state.draft, draft=None)
            yield Move('journal written', written)
        if state.holding:
            yield from self._process_moves(state)

    def _process_moves(self, state: State) -> Iterator[Move]:
        for event, told in _events(state):
            transition = self.chart.find(state.at, event, state, told)
            if transition is not None:
                moved = state._replace(at=transition.to)
                label = f'{event} {told}: {state.at} -> {transition.to}'
                yield Move(label, self.chart.run(transition, moved, told))
        if state.left < USABLE:
            yield Move('steps down', self._step_down(state))

    def _target_moves(self, state: State) -> Iterator[Move]:
        for wire in state.wires:
            yield Move(f'order {wire[0]} arrives', self._arrive(state, wire))
        if state.busy:
            done = {('order_done', key) for key in state.got}
            finished = state._replace(busy=False, answers=state.answers | done)
            yield Move('target finishes', finished)

    def _arrive(self, state: State, wire: tuple[Entry, int]) -> State:
        entry, _ = wire
        state = state._replace(wires=state.wires - {wire})
        if self.fencing and entry.epoch < state.epoch:
            return state
        bad = _find_fault(state, entry)
        key = (entry.number, entry.epoch)
        return state._replace(
            bad=bad,
            busy=True,
            got=frozenset({key}),
        )

    def _pass_time(self, state: State) -> State:
        left = max(state.left - 1, 0)
        ended = left == 0 and state.holding
        if ended and self.kernel_timer:
            state = self._step_down(state)._replace(about=None)
        return state._replace(
            left=left,
            gap=min(state.gap + 1, BOUND) if state.left == 0 else 0,
            since=min(state.since + 1, BOUND + 1),
            wires=frozenset(
                (entry, ttl - 1) for entry, ttl in state.wires if ttl > 0
            ),
        )

    def _step_down(self, state: State) -> State:
        return state._replace(
            at=self.chart.chart.initial,
            holding=False,
            draft=None,
            answers=frozenset(),
        )

    def _take_over(self, state: State) -> State:
        won = state._replace(
            at=self.chart.chart.initial,
            holding=True,
            epoch=state.epoch + 1,
            left=TERM,
            gap=0,
            draft=None,
            answers=frozenset(),
        )
        if not won.journal.open:
            return won._replace(current=won.journal)
        transition = self.chart.find(won.at, 'order_inherited', won, None)
        assert transition is not None
        moved = won._replace(at=transition.to)
        return self.chart.run(transition, moved, None)


def _events(state: State) -> Iterator[tuple[str, Any]]:
    yield 'plan_order', None
    yield 'tick', None
    yield 'record_written', None
    key = (state.current.number, state.current.epoch)
    yield 'order_unanswered', key
    if state.asked:
        yield 'target_read', key
    for event, told in state.answers:
        yield event, told


def _find_fault(state: State, entry: Entry) -> str:
    if state.busy:
        return 'overlap'
    if entry.epoch < state.epoch:
        return 'authority'
    if state.journal != entry:
        return 'journal'
    return SAFE_TEXT


def _send_now(state: State) -> State:
    assert state.about is not None
    return state._replace(
        about=None, wires=state.wires | {(state.about, BOUND)}
    )


@GUARDS.register('may_plan')
@GUARDS.register('may_send')
def _may_send(state: State, told: Any) -> bool:
    return state.holding and state.left >= USABLE


@GUARDS.register('entry_written')
def _entry_written(state: State, told: Any) -> bool:
    return state.journal == state.current


@GUARDS.register('answer_current')
def _answer_current(state: State, told: Any) -> bool:
    return told == (state.current.number, state.current.epoch)


@GUARDS.register('order_expired')
def _order_expired(state: State, told: Any) -> bool:
    return state.since > BOUND


@GUARDS.register('shows_done')
def _shows_done(state: State, told: Any) -> bool:
    return _key(state.current) in state.got and not state.busy


@GUARDS.register('shows_changing')
def _shows_changing(state: State, told: Any) -> bool:
    return _key(state.current) in state.got and state.busy


def _key(entry: Entry) -> tuple[int, int]:
    return (entry.number, entry.epoch)


@OUTPUTS.register('draft')
def _draft(state: State, told: Any) -> State:
    entry = Entry(1 - state.current.number, state.epoch, open=True)
    key = _key(entry)
    return state._replace(
        current=entry,
        draft=entry,
        asked=False,
        got=state.got - {key},
        answers=frozenset(each for each in state.answers if each[1] != key),
        bad=_check_margin(state),
    )


def _check_margin(state: State) -> str:
    return state.bad if state.left >= USABLE else 'margin'


@OUTPUTS.register('inherit')
def _inherit(state: State, told: Any) -> State:
    return state._replace(current=state.journal, asked=False)


@OUTPUTS.register('send')
def _send(state: State, told: Any) -> State:
    bad = _check_margin(state)
    return state._replace(about=state.current, bad=bad)


@OUTPUTS.register('start_bound')
def _start_bound(state: State, told: Any) -> State:
    return state._replace(since=0)


@OUTPUTS.register('read_target')
def _read_target(state: State, told: Any) -> State:
    return state._replace(asked=True)


@OUTPUTS.register('report')
@OUTPUTS.register('forget')
def _keep(state: State, told: Any) -> State:
    return state


def _settle(state: State) -> State:
    settled = state.current._replace(open=False)
    return state._replace(current=settled, draft=settled)


@OUTPUTS.register('settle_done')
def _settle_done(state: State, told: Any) -> State:
    bad = state.bad
    if _key(state.current) not in state.got:
        bad = 'outcome'
    return _settle(state._replace(bad=bad))


@OUTPUTS.register('settle_refused')
@OUTPUTS.register('settle_cancelled')
def _settle_cancelled(state: State, told: Any) -> State:
    return _settle(state)


def _never(fault: str, meaning: str) -> Property:
    return Property(
        meaning, f'A G not {fault}', {fault: lambda s: s.bad == fault}
    )


PROPERTIES = (
    _never('overlap', 'no order arrives while the target changes'),
    _never('authority', 'no order has an effect after a successor won'),
    _never('journal', 'an arriving order is journalled and not settled'),
    _never('outcome', 'an order is recorded as done only if the target did it'),
    _never('margin', 'no order is begun once the term may not be used'),
    Property(
        'reading a target that has done the order settles it',
        'A G (not ready or E X recording)',
        {
            'ready': lambda s: (
                s.at == 'checking'
                and s.asked
                and s.about is None
                and not s.bad
                and not s.busy
                and _key(s.current) in s.got
            ),
            'recording': lambda s: s.at == 'recording',
        },
    ),
)
