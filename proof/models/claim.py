"""Claims: three requests with one idempotency key, one with another body."""

from collections.abc import Iterator
from typing import Any, NamedTuple

from cicadahoist.registry import Registry
from proof.kripke import Move, Property
from proof.models.base import AbstractChart, load_chart

BODIES = ('a', 'a', 'b')

GUARDS: Registry[Any] = Registry('abstract guard of the claim chart')
OUTPUTS: Registry[Any] = Registry('abstract output of the claim chart')


class Attempt(NamedTuple):
    """
    One request at one entry; a killed entry makes no more moves.

    :param create: state of the claim's creation: ``none``, ``flying``,
        ``created`` or ``exists``
    :param write: state of the write of the outcome, with the same values
    :param run_count: how often the request was sent to the target, at most 2
    :param was_wrongly_refused: whether it was refused as having another body
        although the claim is for the same one
    :param did_rewrite: whether it wrote over a recorded outcome
    """

    chart_state: str
    create: str = 'none'
    write: str = 'none'
    run_count: int = 0
    is_reading: bool = False
    is_refused: bool = False
    is_replayed: bool = False
    was_wrongly_refused: bool = False
    did_rewrite: bool = False


class State(NamedTuple):
    """
    The attempts and the claim.

    :param owner_index: attempt that created the claim, below 0 for none
    :param has_outcome: whether the claim holds an outcome
    """

    attempts: tuple[Attempt, ...]
    owner_index: int = -1
    has_outcome: bool = False


class ClaimModel:
    """
    Claims under kills, lost answers, late writes and store outages.

    :param broken: removed guard, as ``claim.guard``
    """

    def __init__(self, broken: str = '') -> None:
        self.chart = AbstractChart(load_chart('claim', broken), GUARDS, OUTPUTS)
        self.name = 'claim'
        self.properties = PROPERTIES

    def initial(self) -> State:
        """Return attempts that have not started, without a claim."""
        return State(tuple(Attempt(self.chart.chart.initial) for _ in BODIES))

    def moves(self, state: State) -> Iterator[Move]:
        """Return all moves that are possible in a state."""
        for index, attempt in enumerate(state.attempts):
            if attempt.create == 'flying':
                yield Move(
                    f'store processes the claim of a{index}',
                    _apply_create(state, index),
                )
            if attempt.write == 'flying':
                yield Move(
                    f'store processes the outcome of a{index}',
                    _apply_outcome(state, index),
                )
            for event in _list_events(attempt):
                transition = self.chart.find(
                    attempt.chart_state, event, state, index
                )
                if transition is None:
                    continue
                moved = replace_attempt(
                    state, index, attempt._replace(chart_state=transition.to)
                )
                yield Move(
                    f'a{index} {event}: '
                    f'{attempt.chart_state} -> {transition.to}',
                    self.chart.run(transition, moved, index),
                )


def _list_events(attempt: Attempt) -> Iterator[str]:
    yield 'request_arrived'
    yield 'tick'
    yield 'give_up'
    yield 'request_ended'
    if attempt.create != 'none':
        yield 'create_unknown'
    if attempt.create == 'created':
        yield 'claim_created'
    if attempt.create == 'exists':
        yield 'claim_exists'
    if attempt.is_reading:
        yield 'claim_read'
    if attempt.write != 'none':
        yield 'outcome_unknown'
    if attempt.write == 'created':
        yield 'outcome_written'


def replace_attempt(state: State, index: int, attempt: Attempt) -> State:
    """Return the state with one attempt replaced."""
    attempts = list(state.attempts)
    attempts[index] = attempt
    return state._replace(attempts=tuple(attempts))


def _apply_create(state: State, index: int) -> State:
    attempt = state.attempts[index]
    if state.owner_index >= 0:
        return replace_attempt(state, index, attempt._replace(create='exists'))
    taken = replace_attempt(state, index, attempt._replace(create='created'))
    return taken._replace(owner_index=index)


def _apply_outcome(state: State, index: int) -> State:
    attempt = state.attempts[index]
    written = replace_attempt(state, index, attempt._replace(write='created'))
    return written._replace(
        has_outcome=state.owner_index == index or state.has_outcome
    )


@GUARDS.register('claim_absent')
def _claim_absent(state: State, index: int) -> bool:
    return state.owner_index < 0


@GUARDS.register('nonce_own')
def _nonce_own(state: State, index: int) -> bool:
    return state.owner_index == index


@GUARDS.register('body_differs')
def _body_differs(state: State, index: int) -> bool:
    return BODIES[state.owner_index] != BODIES[index]


@GUARDS.register('outcome_recorded')
def _outcome_recorded(state: State, index: int) -> bool:
    return state.has_outcome


@GUARDS.register('claim_unchanged')
def _claim_unchanged(state: State, index: int) -> bool:
    return not state.has_outcome


@OUTPUTS.register('create')
def _create(state: State, index: int) -> State:
    return replace_attempt(
        state, index, state.attempts[index]._replace(create='flying')
    )


@OUTPUTS.register('read_claim')
def _read_claim(state: State, index: int) -> State:
    return replace_attempt(
        state, index, state.attempts[index]._replace(is_reading=True)
    )


@OUTPUTS.register('run_request')
def _run_request(state: State, index: int) -> State:
    attempt = state.attempts[index]
    return replace_attempt(
        state, index, attempt._replace(run_count=min(attempt.run_count + 1, 2))
    )


@OUTPUTS.register('write_outcome')
def _write_outcome(state: State, index: int) -> State:
    attempt = state.attempts[index]
    return replace_attempt(
        state,
        index,
        attempt._replace(
            write='flying', did_rewrite=attempt.did_rewrite or state.has_outcome
        ),
    )


@OUTPUTS.register('refuse_not_run')
@OUTPUTS.register('refuse_unknown')
def _refuse(state: State, index: int) -> State:
    return replace_attempt(
        state, index, state.attempts[index]._replace(is_refused=True)
    )


@OUTPUTS.register('refuse_body')
def _refuse_body(state: State, index: int) -> State:
    is_other_body = (
        state.owner_index >= 0 and BODIES[state.owner_index] != BODIES[index]
    )
    attempt = state.attempts[index]
    return replace_attempt(
        state,
        index,
        attempt._replace(
            is_refused=True,
            was_wrongly_refused=attempt.was_wrongly_refused
            or not is_other_body,
        ),
    )


@OUTPUTS.register('replay')
def _replay(state: State, index: int) -> State:
    attempt = state.attempts[index]
    return replace_attempt(
        state, index, attempt._replace(is_refused=True, is_replayed=True)
    )


def _has_attempt(state: State, predicate: Any) -> bool:
    return any(predicate(attempt) for attempt in state.attempts)


def _may_replay(state: State) -> bool:
    return state.has_outcome and any(
        attempt.chart_state == 'verifying'
        and attempt.is_reading
        and index != state.owner_index
        and BODIES[index] == BODIES[state.owner_index]
        for index, attempt in enumerate(state.attempts)
    )


PROPERTIES = (
    Property(
        'a request runs at most once',
        'A G not twice',
        {'twice': lambda s: sum(each.run_count for each in s.attempts) > 1},
    ),
    Property(
        'a refused request does not run, then or later',
        'A G not untrue',
        {
            'untrue': lambda s: _has_attempt(
                s, lambda a: a.is_refused and a.run_count > 0
            )
        },
    ),
    Property(
        'no caller gets an outcome that is not recorded',
        'A G not invented',
        {
            'invented': lambda s: (
                not s.has_outcome and _has_attempt(s, lambda a: a.is_replayed)
            )
        },
    ),
    Property(
        'a request with the same body is never refused as another',
        'A G not wronged',
        {'wronged': lambda s: _has_attempt(s, lambda a: a.was_wrongly_refused)},
    ),
    Property(
        'a recorded outcome is not written again',
        'A G not rewritten',
        {'rewritten': lambda s: _has_attempt(s, lambda a: a.did_rewrite)},
    ),
    Property(
        'an attempt that reads a recorded outcome replays it',
        'A G (not recorded or E X replayed)',
        {
            'recorded': _may_replay,
            'replayed': lambda s: _has_attempt(s, lambda a: a.is_replayed),
        },
    ),
)
