"""Claims: one key, sent through two entries and once with another body."""

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
    One request at one entry; a killed one makes no more moves.

    :param create: ``none``, ``flying``, ``created`` or ``exists``
    :param write: the same of the outcome's write
    :param runs: how often it was sent to the target
    """

    at: str
    create: str = 'none'
    write: str = 'none'
    runs: int = 0
    reading: bool = False
    refused: bool = False
    replayed: bool = False
    told_other: bool = False
    rewrote: bool = False


class State(NamedTuple):
    """
    The attempts and the claim.

    :param owner: attempt that created the claim, none below 0
    """

    attempts: tuple[Attempt, ...]
    owner: int = -1
    outcome: bool = False


class ClaimModel:
    """
    Claims under kills, lost answers, late writes and store outages.

    :param broken: guard taken away, as ``claim.guard``
    """

    def __init__(self, broken: str = '') -> None:
        self.chart = AbstractChart(load_chart('claim', broken), GUARDS, OUTPUTS)
        self.name = 'claim'
        self.properties = PROPERTIES

    def initial(self) -> State:
        """Return attempts that have not begun, and no claim."""
        return State(tuple(Attempt(self.chart.chart.initial) for _ in BODIES))

    def moves(self, state: State) -> Iterator[Move]:
        """Return all moves that are possible in a state."""
        for at, attempt in enumerate(state.attempts):
            if attempt.create == 'flying':
                yield Move(f'store meets claim of a{at}', _meet(state, at))
            if attempt.write == 'flying':
                yield Move(f'store meets outcome of a{at}', _record(state, at))
            for event in _events(attempt):
                transition = self.chart.find(attempt.at, event, state, at)
                if transition is None:
                    continue
                moved = put(state, at, attempt._replace(at=transition.to))
                yield Move(
                    f'a{at} {event}: {attempt.at} -> {transition.to}',
                    self.chart.run(transition, moved, at),
                )


def _events(attempt: Attempt) -> Iterator[str]:
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
    if attempt.reading:
        yield 'claim_read'
    if attempt.write != 'none':
        yield 'outcome_unknown'
    if attempt.write == 'created':
        yield 'outcome_written'


def put(state: State, at: int, attempt: Attempt) -> State:
    """Return the state with one attempt replaced."""
    attempts = list(state.attempts)
    attempts[at] = attempt
    return state._replace(attempts=tuple(attempts))


def _meet(state: State, at: int) -> State:
    attempt = state.attempts[at]
    if state.owner >= 0:
        return put(state, at, attempt._replace(create='exists'))
    taken = put(state, at, attempt._replace(create='created'))
    return taken._replace(owner=at)


def _record(state: State, at: int) -> State:
    attempt = state.attempts[at]
    written = put(state, at, attempt._replace(write='created'))
    return written._replace(outcome=state.owner == at or state.outcome)


@GUARDS.register('claim_absent')
def _claim_absent(state: State, at: int) -> bool:
    return state.owner < 0


@GUARDS.register('nonce_own')
def _nonce_own(state: State, at: int) -> bool:
    return state.owner == at


@GUARDS.register('body_differs')
def _body_differs(state: State, at: int) -> bool:
    return BODIES[state.owner] != BODIES[at]


@GUARDS.register('outcome_recorded')
def _outcome_recorded(state: State, at: int) -> bool:
    return state.outcome


@GUARDS.register('claim_unchanged')
def _claim_unchanged(state: State, at: int) -> bool:
    return not state.outcome


@OUTPUTS.register('create')
def _create(state: State, at: int) -> State:
    return put(state, at, state.attempts[at]._replace(create='flying'))


@OUTPUTS.register('read_claim')
def _read_claim(state: State, at: int) -> State:
    return put(state, at, state.attempts[at]._replace(reading=True))


@OUTPUTS.register('run_request')
def _run_request(state: State, at: int) -> State:
    attempt = state.attempts[at]
    return put(state, at, attempt._replace(runs=min(attempt.runs + 1, 2)))


@OUTPUTS.register('write_outcome')
def _write_outcome(state: State, at: int) -> State:
    attempt = state.attempts[at]
    return put(
        state,
        at,
        attempt._replace(
            write='flying', rewrote=attempt.rewrote or state.outcome
        ),
    )


@OUTPUTS.register('refuse_not_run')
@OUTPUTS.register('refuse_unknown')
def _refuse(state: State, at: int) -> State:
    return put(state, at, state.attempts[at]._replace(refused=True))


@OUTPUTS.register('refuse_body')
def _refuse_body(state: State, at: int) -> State:
    other = state.owner >= 0 and BODIES[state.owner] != BODIES[at]
    attempt = state.attempts[at]
    return put(
        state,
        at,
        attempt._replace(
            refused=True, told_other=attempt.told_other or not other
        ),
    )


@OUTPUTS.register('replay')
def _replay(state: State, at: int) -> State:
    attempt = state.attempts[at]
    return put(state, at, attempt._replace(refused=True, replayed=True))


def _any(state: State, holds: Any) -> bool:
    return any(holds(attempt) for attempt in state.attempts)


def _has_replay(state: State) -> bool:
    return state.outcome and any(
        attempt.at == 'verifying'
        and attempt.reading
        and at != state.owner
        and BODIES[at] == BODIES[state.owner]
        for at, attempt in enumerate(state.attempts)
    )


PROPERTIES = (
    Property(
        'a request runs at most once',
        'A G not twice',
        {'twice': lambda s: sum(each.runs for each in s.attempts) > 1},
    ),
    Property(
        'what was refused does not run, then or later',
        'A G not untrue',
        {'untrue': lambda s: _any(s, lambda a: a.refused and a.runs > 0)},
    ),
    Property(
        'nobody gets an outcome that is not recorded',
        'A G not invented',
        {'invented': lambda s: not s.outcome and _any(s, lambda a: a.replayed)},
    ),
    Property(
        'the same body is never refused as another',
        'A G not wronged',
        {'wronged': lambda s: _any(s, lambda a: a.told_other)},
    ),
    Property(
        'a recorded outcome is not written again',
        'A G not rewritten',
        {'rewritten': lambda s: _any(s, lambda a: a.rewrote)},
    ),
    Property(
        'who reads a recorded outcome gets it',
        'A G (not recorded or E X replayed)',
        {
            'recorded': _has_replay,
            'replayed': lambda s: _any(s, lambda a: a.replayed),
        },
    ),
)
