"""Runs one call for each key at a time."""

from collections.abc import Callable, Coroutine
from typing import Any, Generic, TypeVar

from twisted.internet.defer import Deferred

Returned = TypeVar('Returned')
Turn = Deferred[None]


class SharedCalls(Generic[Returned]):
    """Calls of which later ones wait for the first one with the same key."""

    __slots__ = ('_waiting_by_key',)

    def __init__(self) -> None:
        self._waiting_by_key: dict[str, list[Turn]] = {}

    async def run(
        self,
        key: str,
        call: Callable[[], Coroutine[Any, Any, Returned]],
    ) -> Returned | None:
        """
        Make a call, or wait for the end of the one under way.

        :return: the outcome of the call, none after waiting
        """
        waiting = self._waiting_by_key.get(key)
        if waiting is not None:
            turn: Turn = Deferred()
            waiting.append(turn)
            await turn
            return None
        self._waiting_by_key[key] = []
        try:
            return await call()
        finally:
            for turn in self._waiting_by_key.pop(key):
                # A cancelled one has been called already.
                if not turn.called:
                    turn.callback(None)
