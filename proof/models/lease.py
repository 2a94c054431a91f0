"""Leases: two processes, a store that loses answers, and a target."""

from collections.abc import Iterator
from typing import Any, NamedTuple

from cicadahoist.protocol.lease import HOLDER_STATES
from cicadahoist.registry import Registry
from proof.kits import KERNEL_TIMER
from proof.kripke import Move, Property
from proof.models.base import AbstractChart, load_chart

# Abstract time units: the term, the part of it that must remain for the lease
# to be used, and the order bound.
TERM = 2
USABLE = 1
BOUND = 1
TAKEOVER = TERM + BOUND
NOBODY = -1
FORGOTTEN = -1

GUARDS: Registry[Any] = Registry('abstract guard of the lease chart')
OUTPUTS: Registry[Any] = Registry('abstract output of the lease chart')


class Slot(NamedTuple):
    """
    A write in transit.

    :param phase: ``flying``, ``stale`` (another version exists), ``applied``,
        ``overwritten`` (applied, and another write since)
    :param remaining: remaining time of the term that it grants
    :param is_remembered: whether the writer remembers its nonce
    """

    kind: str
    phase: str
    remaining: int
    is_remembered: bool = True


class Proc(NamedTuple):
    """
    One process.

    :param remaining: remaining time of the term
    :param unchanged_for: time for which the version has been unchanged
    :param is_version_current: whether the version it read is the store's
    :param current: write that awaits its answer
    :param late: earlier write whose answer may still arrive
    :param is_sending: whether it has checked its term and not yet sent
    :param order_ttl: time for which an order can stay in transit, below 0 for
        none
    :param is_authorized: whether the order in transit was sent by the holder
    :param is_order_open: whether an order's outcome is unknown
    :param is_leave_requested: whether it was asked to leave
    """

    chart_state: str
    remaining: int = 0
    unchanged_for: int = 0
    is_version_current: bool = False
    current: Slot | None = None
    late: Slot | None = None
    is_sending: bool = False
    order_ttl: int = -1
    is_authorized: bool = True
    is_order_open: bool = False
    is_leave_requested: bool = False


class State(NamedTuple):
    """
    Two processes and the store.

    :param nonce_remaining: remaining time of the term that the last write
        grants, ``FORGOTTEN`` if its writer does not remember the nonce
    :param had_stale_order: whether an unauthorized order had an effect
    :param was_early: whether a renewal or a step-down came before it was due
    """

    procs: tuple[Proc, Proc]
    holder: int = NOBODY
    is_released: bool = False
    nonce_remaining: int = FORGOTTEN
    had_stale_order: bool = False
    was_early: bool = False


class LeaseModel:
    """
    Leases under suspensions at any step, lost and late answers, and outages.

    A process that makes no move is suspended; a store that gives no answer is
    down. Both may last for any time.

    :param broken: removed guard, as ``lease.guard`` or ``KERNEL_TIMER``
    :param fencing: whether the target refuses old fencing tokens
    :param leaving: whether the first process may leave and lose its targets
    """

    def __init__(
        self, broken: str = '', fencing: bool = False, leaving: bool = False
    ) -> None:
        chart = load_chart('lease', broken)
        self.chart = AbstractChart(chart, GUARDS, OUTPUTS)
        self.fencing = fencing
        self.leaving = leaving
        self.kernel_timer = broken != KERNEL_TIMER
        targets = 'with fencing' if fencing else 'without fencing'
        suffix = ', leaving' if leaving else ''
        self.name = f'lease, target {targets}{suffix}'
        self.properties = SAFETY if leaving else SAFETY + LIVENESS
        if not self.kernel_timer:
            self.properties = SAFETY[:1]

    def initial(self) -> State:
        """Return two processes in standby and an empty store."""
        proc = Proc(self.chart.chart.initial)
        return State((proc, proc))

    def moves(self, state: State) -> Iterator[Move]:
        """Return all moves that are possible in a state."""
        if state.had_stale_order:
            return
        yield Move('time passes', self._pass_time(state))
        for index in (0, 1):
            yield from self._network_moves(state, index)
            proc = state.procs[index]
            if proc.is_sending:
                emitted = proc._replace(
                    is_sending=False,
                    order_ttl=BOUND,
                    is_authorized=state.holder == index,
                )
                yield Move(
                    f'p{index} sends', replace_proc(state, index, emitted)
                )
            else:
                yield from self._process_moves(state, index)

    def _process_moves(self, state: State, index: int) -> Iterator[Move]:
        proc = state.procs[index]
        for event, slot in list_events(proc, self.leaving and index == 0):
            transition = self.chart.find(
                proc.chart_state, event, state, index, event, slot
            )
            if transition is None:
                continue
            before = replace_proc(state, index, _take_answer(proc, event, slot))
            moved = replace_proc(
                before,
                index,
                before.procs[index]._replace(chart_state=transition.to),
            )
            following = self.chart.run(transition, moved, index, event, slot)
            yield Move(
                f'p{index} {event}: {proc.chart_state} -> {transition.to}',
                following,
            )
        if (
            proc.chart_state in HOLDER_STATES
            and proc.remaining >= USABLE
            and not proc.is_order_open
        ):
            checked = proc._replace(is_sending=True, is_order_open=True)
            yield Move(
                f'p{index} checks its term',
                replace_proc(state, index, checked),
            )
        if proc.is_order_open and proc.order_ttl < 0:
            settled = proc._replace(is_order_open=False)
            yield Move(
                f'p{index} reads the target',
                replace_proc(state, index, settled),
            )

    def _network_moves(self, state: State, index: int) -> Iterator[Move]:
        proc = state.procs[index]
        for slot_name in ('current', 'late'):
            slot = getattr(proc, slot_name)
            if slot is not None and slot.phase == 'flying':
                yield Move(
                    f'store applies {slot.kind} of p{index}',
                    _apply(state, index, slot_name, slot),
                )
        if proc.order_ttl >= 0:
            arrived = replace_proc(
                state, index, proc._replace(order_ttl=-1, is_order_open=False)
            )
            if not proc.is_authorized and not self.fencing:
                arrived = arrived._replace(had_stale_order=True)
            yield Move(f'order of p{index} reaches the target', arrived)

    def _pass_time(self, state: State) -> State:
        nonce = state.nonce_remaining
        aged = state._replace(nonce_remaining=nonce - 1 if nonce > 0 else nonce)
        for index in (0, 1):
            aged = replace_proc(aged, index, self._age(aged.procs[index]))
        return aged

    def _age(self, proc: Proc) -> Proc:
        remaining = max(proc.remaining - 1, 0)
        if (
            proc.chart_state in HOLDER_STATES
            and remaining == 0
            and self.kernel_timer
        ):
            flying = proc.current or proc.late
            proc = Proc(
                self.chart.chart.initial,
                late=flying._replace(is_remembered=False) if flying else None,
                order_ttl=proc.order_ttl,
                is_authorized=proc.is_authorized,
            )
        return proc._replace(
            remaining=remaining if proc.chart_state in HOLDER_STATES else 0,
            unchanged_for=min(proc.unchanged_for + 1, TAKEOVER)
            if proc.is_version_current
            else 0,
            current=_age_slot(proc.current),
            late=_age_slot(proc.late),
            order_ttl=proc.order_ttl - 1 if proc.order_ttl >= 0 else -1,
        )


def list_events(proc: Proc, leaving: bool) -> Iterator[tuple[str, Slot | None]]:
    """Yield events that a process may get, each with the write it is about."""
    yield 'tick', None
    yield 'object_read', None
    if proc.current is not None:
        yield 'write_unknown', proc.current
        if proc.current.phase in {'applied', 'overwritten'}:
            yield 'write_confirmed', proc.current
        if proc.current.phase == 'stale':
            yield 'write_conflict', proc.current
    if proc.late is not None and proc.late.phase in {'applied', 'overwritten'}:
        yield 'write_confirmed', proc.late
    if proc.chart_state == 'holding':
        yield 'journal_change', None
    if leaving:
        yield 'targets_unreachable', None
        yield 'targets_reachable', None
        yield 'leave', None


def replace_proc(state: State, index: int, proc: Proc) -> State:
    """
    Return the state with one process replaced.

    Details that no longer matter are dropped, so that equal states compare
    equal.
    """
    proc = proc._replace(
        current=_normalize_slot(proc.current),
        late=_normalize_slot(proc.late),
        is_authorized=proc.is_authorized or proc.order_ttl < 0,
    )
    if proc.late is not None and proc.late.phase == 'stale':
        proc = proc._replace(late=None)
    procs = (proc, state.procs[1]) if index == 0 else (state.procs[0], proc)
    return state._replace(procs=procs)


def _normalize_slot(slot: Slot | None) -> Slot | None:
    if slot is None or slot.is_remembered:
        return slot
    return slot._replace(remaining=0)


def _take_answer(proc: Proc, event: str, slot: Slot | None) -> Proc:
    if event == 'leave':
        return proc._replace(is_leave_requested=True)
    if slot is None:
        return proc
    if slot is proc.late:
        return proc._replace(late=None)
    if event == 'write_unknown':
        return proc._replace(current=None, late=slot)
    return proc._replace(current=None)


def _age_slot(slot: Slot | None) -> Slot | None:
    return slot and slot._replace(remaining=max(slot.remaining - 1, 0))


def _apply(state: State, index: int, slot_name: str, slot: Slot) -> State:
    taken = state.procs[index]._replace(
        **{slot_name: slot._replace(phase='applied')}
    )
    state = replace_proc(state, index, taken)
    for each_index, proc in enumerate(state.procs):
        keep = slot_name if each_index == index else ''
        marked = proc._replace(
            is_version_current=False,
            unchanged_for=0,
            current=proc.current
            if keep == 'current'
            else _mark_outdated(proc.current),
            late=proc.late if keep == 'late' else _mark_outdated(proc.late),
        )
        if slot.kind in {'claim', 'release'}:
            marked = marked._replace(is_authorized=False)
        state = replace_proc(state, each_index, marked)
    return state._replace(
        holder=index,
        is_released=slot.kind == 'release',
        nonce_remaining=slot.remaining if slot.is_remembered else FORGOTTEN,
    )


def _mark_outdated(slot: Slot | None) -> Slot | None:
    phases = {'flying': 'stale', 'applied': 'overwritten'}
    return slot and slot._replace(phase=phases.get(slot.phase, slot.phase))


def _find_remaining(state: State, index: int, slot: Slot | None) -> int:
    if slot is None:
        return max(state.nonce_remaining, 0)
    if not slot.is_remembered:
        # The term that the process would wrongly assume the write grants.
        slot = state.procs[index].current or slot
    return slot.remaining


@GUARDS.register('lease_free')
def _lease_free(state: State, index: int, event: str, slot: Any) -> bool:
    return state.holder == NOBODY or state.is_released


@GUARDS.register('takeover_due')
def _takeover_due(state: State, index: int, event: str, slot: Any) -> bool:
    proc = state.procs[index]
    return proc.is_version_current and proc.unchanged_for >= TAKEOVER


@GUARDS.register('term_usable')
def _term_usable(state: State, index: int, event: str, slot: Any) -> bool:
    return _find_remaining(state, index, slot) >= USABLE


@GUARDS.register('answer_current')
def _answer_current(state: State, index: int, event: str, slot: Any) -> bool:
    return slot is state.procs[index].current and slot.is_remembered


@GUARDS.register('nonce_own')
def _nonce_own(state: State, index: int, event: str, slot: Any) -> bool:
    return state.holder == index and state.nonce_remaining != FORGOTTEN


@GUARDS.register('version_unchanged')
def _version_unchanged(state: State, index: int, event: str, slot: Any) -> bool:
    return state.procs[index].is_version_current


@GUARDS.register('step_down_due')
def _step_down_due(state: State, index: int, event: str, slot: Any) -> bool:
    return state.procs[index].remaining < USABLE


@GUARDS.register('renewal_due')
def _renewal_due(state: State, index: int, event: str, slot: Any) -> bool:
    return state.procs[index].remaining < TERM


@GUARDS.register('orders_settled')
def _orders_settled(state: State, index: int, event: str, slot: Any) -> bool:
    return not state.procs[index].is_order_open


@GUARDS.register('leaving')
def _leaving(state: State, index: int, event: str, slot: Any) -> bool:
    return state.procs[index].is_leave_requested


def _keep_state(state: State, index: int, event: str, slot: Any) -> State:
    return state


for _name in ('read_object', 'mark_leaving'):
    OUTPUTS.register(_name)(_keep_state)


@OUTPUTS.register('note_version')
def _note_version(state: State, index: int, event: str, slot: Any) -> State:
    proc = state.procs[index]
    if proc.is_version_current:
        return state
    return replace_proc(
        state, index, proc._replace(is_version_current=True, unchanged_for=0)
    )


def _write(state: State, index: int, kind: str) -> State:
    proc = state.procs[index]
    phase = 'flying' if proc.is_version_current else 'stale'
    return replace_proc(
        state, index, proc._replace(current=Slot(kind, phase, TERM))
    )


@OUTPUTS.register('write_claim')
def _write_claim(state: State, index: int, event: str, slot: Any) -> State:
    return _write(_forget_attempts(state, index, event, slot), index, 'claim')


@OUTPUTS.register('write_again')
def _write_again(state: State, index: int, event: str, slot: Any) -> State:
    late = state.procs[index].late
    return _write(state, index, late.kind if late else 'claim')


@OUTPUTS.register('write_renewal')
def _write_renewal(state: State, index: int, event: str, slot: Any) -> State:
    early = state.was_early or state.procs[index].remaining == TERM
    return _write(state._replace(was_early=early), index, 'renewal')


@OUTPUTS.register('write_journal')
def _write_journal(state: State, index: int, event: str, slot: Any) -> State:
    return _write(state, index, 'renewal')


@OUTPUTS.register('write_release')
def _write_release(state: State, index: int, event: str, slot: Any) -> State:
    return _forget_attempts(_write(state, index, 'release'), index, event, slot)


@OUTPUTS.register('become_holder')
@OUTPUTS.register('extend_term')
def _become_holder(state: State, index: int, event: str, slot: Any) -> State:
    fresh = slot is None or slot.phase == 'applied'
    held = state.procs[index]._replace(
        remaining=_find_remaining(state, index, slot),
        is_version_current=fresh,
        unchanged_for=0,
    )
    return _forget_attempts(
        replace_proc(state, index, held), index, event, slot
    )


@OUTPUTS.register('step_down')
def _step_down(state: State, index: int, event: str, slot: Any) -> State:
    due = (
        event != 'tick'
        or state.procs[index].remaining < USABLE
        or _asked(state, index)
    )
    stepped = replace_proc(
        state, index, state.procs[index]._replace(remaining=0)
    )
    return stepped._replace(was_early=state.was_early or not due)


def _asked(state: State, index: int) -> bool:
    return state.procs[index].is_leave_requested


@OUTPUTS.register('drop_attempts')
def _forget_attempts(state: State, index: int, event: str, slot: Any) -> State:
    proc = state.procs[index]
    flying = proc.current or proc.late
    forgotten = flying._replace(is_remembered=False) if flying else None
    state = replace_proc(
        state, index, proc._replace(current=None, late=forgotten)
    )
    if state.holder == index:
        return state._replace(nonce_remaining=FORGOTTEN)
    return state


def _may_use(proc: Proc) -> bool:
    return proc.chart_state in HOLDER_STATES and proc.remaining >= USABLE


def _never_stuck(index: int) -> Property:
    return Property(
        f'p{index} can always return to standby or to holding the lease',
        'A G E F home',
        {
            'home': lambda s: (
                s.procs[index].chart_state in HOLDER_STATES | {'standby'}
            )
        },
    )


SAFETY = (
    Property(
        'no order has an effect after its sender lost the lease',
        'A G not stale',
        {'stale': lambda s: s.had_stale_order},
    ),
    Property(
        'no two processes hold the lease at once',
        'A G not both',
        {'both': lambda s: all(_may_use(proc) for proc in s.procs)},
    ),
    Property(
        'no process is in a holder state without a term',
        'A G not over',
        {
            'over': lambda s: any(
                proc.chart_state in HOLDER_STATES and proc.remaining == 0
                for proc in s.procs
            )
        },
    ),
    Property(
        'renewals and step-downs on a tick come only when they are due',
        'A G not early',
        {'early': lambda s: s.was_early},
    ),
    Property(
        'a process leaves only when asked to',
        'A G not left',
        {
            'left': lambda s: any(
                proc.chart_state == 'left' and not proc.is_leave_requested
                for proc in s.procs
            )
        },
    ),
)
LIVENESS = (
    Property(
        'some process can always renew the lease again',
        'A G E F renewing',
        {
            'renewing': lambda s: any(
                p.chart_state == 'renewing' for p in s.procs
            )
        },
    ),
    _never_stuck(0),
)
