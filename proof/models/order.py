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
NO_FAULT = ''

GUARDS: Registry[Any] = Registry('abstract guard of the order chart')
OUTPUTS: Registry[Any] = Registry('abstract output of the order chart')


class Entry(NamedTuple):
    """A journal entry; numbers of orders alternate between 0 and 1."""

    number: int
    epoch: int
    is_open: bool


class State(NamedTuple):
    """
    The holder, its journal, and the target.

    :param is_holder: whether the process has not stepped down
    :param remaining: remaining time of the term
    :param since_term: time since the end of the term
    :param draft: entry that is due to be written
    :param sending: order whose term was checked and that is not yet sent
    :param since_sent: time since the order was sent at the latest
    :param is_read_requested: whether a read of the target's state was requested
    :param in_transit: orders in transit, each with its remaining time there
    :param received: numbers and epochs of the orders that the target accepted
    :param answers: answers in transit, including late ones
    :param fault: violated property, if any
    """

    chart_state: str
    is_holder: bool = True
    epoch: int = 1
    remaining: int = TERM
    since_term: int = 0
    current: Entry = Entry(0, 1, is_open=False)
    journal: Entry = Entry(0, 1, is_open=False)
    draft: Entry | None = None
    sending: Entry | None = None
    since_sent: int = 0
    is_read_requested: bool = False
    in_transit: frozenset[tuple[Entry, int]] = frozenset()
    received: frozenset[tuple[int, int]] = frozenset()
    is_busy: bool = False
    answers: frozenset[tuple[str, tuple[int, int]]] = frozenset()
    fault: str = NO_FAULT


class OrderModel:
    """
    Orders under suspensions, lost answers, takeover and slow targets.

    :param broken: removed guard, as ``order.guard`` or ``KERNEL_TIMER``
    :param fencing: whether the target refuses old fencing tokens
    """

    def __init__(self, broken: str = '', fencing: bool = False) -> None:
        chart = load_chart('order', broken)
        self.chart = AbstractChart(chart, GUARDS, OUTPUTS)
        self.fencing = fencing
        self.kernel_timer = broken != KERNEL_TIMER
        self.name = 'order, target {0} fencing'.format(
            'with' if fencing else 'without'
        )
        self.properties = PROPERTIES

    def initial(self) -> State:
        """Return a holder at the start of its term, without an order."""
        return State(self.chart.chart.initial)

    def moves(self, state: State) -> Iterator[Move]:
        """Return all moves that are possible in a state."""
        if state.fault:
            return
        yield Move('time passes', self._pass_time(state))
        yield from self._target_moves(state)
        if state.sending is not None:
            yield Move('sends', _send_now(state))
            return
        if state.since_term >= BOUND and state.epoch < MAX_EPOCH:
            yield Move('successor wins', self._take_over(state))
        if state.draft is not None and state.is_holder:
            written = state._replace(journal=state.draft, draft=None)
            yield Move('journal written', written)
        if state.is_holder:
            yield from self._process_moves(state)

    def _process_moves(self, state: State) -> Iterator[Move]:
        for event, answer in _list_events(state):
            transition = self.chart.find(
                state.chart_state, event, state, answer
            )
            if transition is not None:
                moved = state._replace(chart_state=transition.to)
                label = (
                    f'{event} {answer}: {state.chart_state} -> {transition.to}'
                )
                yield Move(label, self.chart.run(transition, moved, answer))
        if state.remaining < USABLE:
            yield Move('steps down', self._step_down(state))

    def _target_moves(self, state: State) -> Iterator[Move]:
        for order in state.in_transit:
            yield Move(f'order {order[0]} arrives', self._arrive(state, order))
        if state.is_busy:
            done = {('order_done', key) for key in state.received}
            finished = state._replace(
                is_busy=False, answers=state.answers | done
            )
            yield Move('target finishes', finished)

    def _arrive(self, state: State, order: tuple[Entry, int]) -> State:
        entry, _ = order
        state = state._replace(in_transit=state.in_transit - {order})
        if self.fencing and entry.epoch < state.epoch:
            return state
        fault = _find_fault(state, entry)
        key = (entry.number, entry.epoch)
        return state._replace(
            fault=fault,
            is_busy=True,
            received=frozenset({key}),
        )

    def _pass_time(self, state: State) -> State:
        remaining = max(state.remaining - 1, 0)
        ended = remaining == 0 and state.is_holder
        if ended and self.kernel_timer:
            state = self._step_down(state)._replace(sending=None)
        return state._replace(
            remaining=remaining,
            since_term=min(state.since_term + 1, BOUND)
            if state.remaining == 0
            else 0,
            since_sent=min(state.since_sent + 1, BOUND + 1),
            in_transit=frozenset(
                (entry, ttl - 1) for entry, ttl in state.in_transit if ttl > 0
            ),
        )

    def _step_down(self, state: State) -> State:
        return state._replace(
            chart_state=self.chart.chart.initial,
            is_holder=False,
            draft=None,
            answers=frozenset(),
        )

    def _take_over(self, state: State) -> State:
        won = state._replace(
            chart_state=self.chart.chart.initial,
            is_holder=True,
            epoch=state.epoch + 1,
            remaining=TERM,
            since_term=0,
            draft=None,
            answers=frozenset(),
        )
        if not won.journal.is_open:
            return won._replace(current=won.journal)
        transition = self.chart.find(
            won.chart_state, 'order_inherited', won, None
        )
        assert transition is not None
        moved = won._replace(chart_state=transition.to)
        return self.chart.run(transition, moved, None)


def _list_events(state: State) -> Iterator[tuple[str, Any]]:
    yield 'plan_order', None
    yield 'tick', None
    yield 'record_written', None
    key = (state.current.number, state.current.epoch)
    yield 'order_unanswered', key
    if state.is_read_requested:
        yield 'target_read', key
    for event, answer in state.answers:
        yield event, answer


def _find_fault(state: State, entry: Entry) -> str:
    if state.is_busy:
        return 'overlap'
    if entry.epoch < state.epoch:
        return 'authority'
    if state.journal != entry:
        return 'journal'
    return NO_FAULT


def _send_now(state: State) -> State:
    assert state.sending is not None
    return state._replace(
        sending=None, in_transit=state.in_transit | {(state.sending, BOUND)}
    )


@GUARDS.register('may_plan')
@GUARDS.register('may_send')
def _may_send(state: State, answer: Any) -> bool:
    return state.is_holder and state.remaining >= USABLE


@GUARDS.register('entry_written')
def _entry_written(state: State, answer: Any) -> bool:
    return state.journal == state.current


@GUARDS.register('answer_current')
def _answer_current(state: State, answer: Any) -> bool:
    return answer == (state.current.number, state.current.epoch)


@GUARDS.register('order_expired')
def _order_expired(state: State, answer: Any) -> bool:
    return state.since_sent > BOUND


@GUARDS.register('shows_done')
def _shows_done(state: State, answer: Any) -> bool:
    return _make_key(state.current) in state.received and not state.is_busy


@GUARDS.register('shows_changing')
def _shows_changing(state: State, answer: Any) -> bool:
    return _make_key(state.current) in state.received and state.is_busy


def _make_key(entry: Entry) -> tuple[int, int]:
    return (entry.number, entry.epoch)


@OUTPUTS.register('draft')
def _draft(state: State, answer: Any) -> State:
    entry = Entry(1 - state.current.number, state.epoch, is_open=True)
    key = _make_key(entry)
    return state._replace(
        current=entry,
        draft=entry,
        is_read_requested=False,
        received=state.received - {key},
        answers=frozenset(each for each in state.answers if each[1] != key),
        fault=_check_margin(state),
    )


def _check_margin(state: State) -> str:
    return state.fault if state.remaining >= USABLE else 'margin'


@OUTPUTS.register('inherit')
def _inherit(state: State, answer: Any) -> State:
    return state._replace(current=state.journal, is_read_requested=False)


@OUTPUTS.register('send')
def _send(state: State, answer: Any) -> State:
    fault = _check_margin(state)
    return state._replace(sending=state.current, fault=fault)


@OUTPUTS.register('start_bound')
def _start_bound(state: State, answer: Any) -> State:
    return state._replace(since_sent=0)


@OUTPUTS.register('read_target')
def _read_target(state: State, answer: Any) -> State:
    return state._replace(is_read_requested=True)


@OUTPUTS.register('report')
@OUTPUTS.register('forget')
def _keep_state(state: State, answer: Any) -> State:
    return state


def _settle(state: State) -> State:
    settled = state.current._replace(is_open=False)
    return state._replace(current=settled, draft=settled)


@OUTPUTS.register('settle_done')
def _settle_done(state: State, answer: Any) -> State:
    fault = state.fault
    if _make_key(state.current) not in state.received:
        fault = 'outcome'
    return _settle(state._replace(fault=fault))


@OUTPUTS.register('settle_refused')
@OUTPUTS.register('settle_cancelled')
def _settle_cancelled(state: State, answer: Any) -> State:
    return _settle(state)


def _never(fault: str, meaning: str) -> Property:
    return Property(
        meaning, f'A G not {fault}', {fault: lambda s: s.fault == fault}
    )


PROPERTIES = (
    _never('overlap', 'no order arrives while the target changes'),
    _never('authority', 'no order has an effect after a successor won'),
    _never('journal', 'an arriving order is journalled and not settled'),
    _never(
        'outcome', 'an order is recorded as done only if the target received it'
    ),
    _never(
        'margin', 'no order is drafted or sent without enough remaining term'
    ),
    Property(
        'reading a target that has carried out the order settles it',
        'A G (not ready or E X recording)',
        {
            'ready': lambda s: (
                s.chart_state == 'checking'
                and s.is_read_requested
                and s.sending is None
                and not s.fault
                and not s.is_busy
                and _make_key(s.current) in s.received
            ),
            'recording': lambda s: s.chart_state == 'recording',
        },
    ),
)
