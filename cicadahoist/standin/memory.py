"""In-memory store client with the semantics of the HTTP stand-in, for tests."""

from collections.abc import Callable
from enum import Enum
from typing import Any

from twisted.internet.defer import Deferred

from cicadahoist.clock import Clock
from cicadahoist.errors import StoreError, StoreUnavailableError
from cicadahoist.outside.store import Stored
from cicadahoist.standin.objects import WRITE_KINDS, ObjectModel
from cicadahoist.standin.timing import fire_after

TIMEOUT_MS = 1000


class Cut(Enum):
    """Direction in which the connection of a client to the store is cut."""

    none = 'none'
    requests = 'requests'
    answers = 'answers'


class MemoryStore:
    """
    Client of a store that is held in memory.

    Several clients may share one model. A call that takes longer than the
    timeout raises :exc:`StoreUnavailableError`; a write that timed out still
    takes effect later.

    :param model: objects and faults of the store
    :param clock: clock for delays, timeouts and watches
    :param timeout_ms: longest wait for an answer, in ms
    """

    __slots__ = ('_clock', '_model', '_timeout_ms', 'cut')

    def __init__(
        self, model: ObjectModel, clock: Clock, timeout_ms: int = TIMEOUT_MS
    ) -> None:
        self.cut = Cut.none
        self._model = model
        self._clock = clock
        self._timeout_ms = timeout_ms

    @classmethod
    def from_seed(cls, seed: int, clock: Clock) -> 'MemoryStore':
        """Return a client of a new store without rate limits."""
        return cls(ObjectModel(seed), clock)

    @property
    def model(self) -> ObjectModel:
        """Objects and faults of the store."""
        return self._model

    async def read(self, name: str) -> Stored | None:
        """Return an object, or ``None`` if it is absent."""
        return await self._call('read', self._model.get, name)

    async def write(self, name: str, payload: bytes, expected: int) -> int:
        """
        Write an object if its version is still the expected one.

        :return: the new version
        :raises VersionConflictError: the object has another version
        """
        return await self._call(
            'write', self._model.put, name, payload, expected
        )

    async def remove(self, name: str, expected: int) -> None:
        """
        Remove an object if its version is still the expected one.

        :raises VersionConflictError: the object has another version
        """
        await self._call('remove', self._model.remove, name, expected)

    async def list_versions(self, prefix: str) -> dict[str, int]:
        """Return versions by name of all objects below a prefix."""
        return await self._call('names', self._model.list_versions, prefix)

    async def watch(self, name: str, after: int, wait_ms: int) -> Stored | None:
        """
        Wait until the version of an object is above ``after``.

        :param wait_ms: longest wait in ms
        :return: the object, or ``None`` if the wait expired
        """
        await self._call('watch', self._model.get, name)
        stored = await self._model.wait_for_newer(
            self._clock, name, after, wait_ms
        )
        self._check_connected()
        return stored

    async def _call(
        self, kind: str, effect: Callable[..., Any], *args: Any
    ) -> Any:
        if self.cut is Cut.requests:
            await self._clock.sleep(self._timeout_ms)
            raise _unavailable('cut off')
        delay_ms = self._model.faults.delay_ms
        if not delay_ms:
            return self._run(kind, effect, *args)
        outcome: Deferred[Any] = Deferred()
        delayed = DelayedCall(kind, effect, args, outcome)
        self._clock.call_later(delay_ms, self._run_delayed, delayed)
        fire_after(
            outcome,
            self._clock,
            self._timeout_ms,
            _unavailable('no answer within the timeout'),
        )
        return await outcome

    def _run_delayed(self, delayed: 'DelayedCall') -> None:
        try:
            answer = self._run(delayed.kind, delayed.effect, *delayed.args)
        except StoreError as error:
            _fire_if_pending(delayed.outcome.errback, delayed.outcome, error)
        else:
            _fire_if_pending(delayed.outcome.callback, delayed.outcome, answer)

    def _run(self, kind: str, effect: Callable[..., Any], *args: Any) -> Any:
        self._model.admit(kind, self._clock.now_ms())
        answer = effect(*args)
        if kind in WRITE_KINDS and self._model.loses_answer():
            raise _unavailable('answer lost')
        self._check_connected()
        return answer

    def _check_connected(self) -> None:
        if self.cut is not Cut.none or self._model.faults.outage:
            raise _unavailable('answer cut off')


class DelayedCall:
    """A call that takes effect after the delay of a fault."""

    __slots__ = ('args', 'effect', 'kind', 'outcome')

    def __init__(
        self,
        kind: str,
        effect: Callable[..., Any],
        args: tuple[Any, ...],
        outcome: 'Deferred[Any]',
    ) -> None:
        self.kind = kind
        self.effect = effect
        self.args = args
        self.outcome = outcome


def _fire_if_pending(
    fire: Callable[[Any], None], outcome: 'Deferred[Any]', result: Any
) -> None:
    if not outcome.called:
        fire(result)


def _unavailable(problem: str) -> StoreUnavailableError:
    return StoreUnavailableError(
        problem, remedy='wait for the store; reading the object settles it'
    )
