"""Holds the events of an attempt until its software version is recorded."""

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.defer import CancelledError, Deferred

from cicadahoist.log import get_logger
from cicadahoist.requests import AnswerHead
from cicadahoist.serving.attempt import AttemptEnd, AttemptOutcome, OnPieces
from cicadahoist.serving.record_wait import RecordWait
from cicadahoist.serving.stream_binding import StreamBinding

logger = get_logger(__name__)


class HeldEvents:
    """
    Passes on the events of one attempt, the first ones with a delay if need be.

    The version of a target is recorded before a request is sent to it. While
    the request runs, the store may come back from an older copy without it.

    :param binding: knows whether the version is recorded
    :param version: version of the target
    :param record_wait: waits until the version is recorded
    :param on_arrival: called when a part of the answer arrives
    :param forward: passes events on to the caller
    """

    __slots__ = (
        '_binding',
        '_forward',
        '_held',
        '_is_waiting',
        '_on_arrival',
        '_record_wait',
        '_version',
    )

    def __init__(
        self,
        binding: StreamBinding,
        version: str,
        record_wait: RecordWait,
        on_arrival: Callable[[], None],
        forward: OnPieces,
    ) -> None:
        self._binding = binding
        self._forward = forward
        self._on_arrival = on_arrival
        self._record_wait = record_wait
        self._held: list[_Piece] = []
        self._is_waiting = False
        self._version = version

    @property
    def is_holding(self) -> bool:
        """Whether events wait until the version is recorded."""
        return bool(self._held)

    def receive(self, head: AnswerHead, pieces: list[bytes]) -> None:
        """Pass events on, or hold them."""
        self._on_arrival()
        if not self._held and self._binding.admits(self._version):
            self._forward(head, pieces)
            return
        self._held.append(_Piece(head, pieces))
        if not self._is_waiting:
            self._is_waiting = True
            waiting = Deferred.fromCoroutine(self._flush())
            waiting.addErrback(_log_defect)

    async def finish(self, end: AttemptEnd) -> None:
        """
        Wait until the held events were passed on, or the request is over.

        Those of an answer that is not complete are dropped.
        """
        if end.outcome is not AttemptOutcome.answered:
            self._held.clear()
        await self._flush()

    async def _flush(self) -> None:
        if self._held:
            await self._record_wait.wait_until_admitted(self._version)
        held = self._held
        self._held = []
        self._is_waiting = False
        for piece in held:
            self._forward(piece.head, piece.events)


class _Piece(msgspec.Struct, frozen=True):
    head: AnswerHead
    events: list[bytes]


def _log_defect(failure: Any) -> None:
    if not failure.check(CancelledError):
        logger.error(
            'held events raised an unexpected error: {0}',
            failure.getTraceback(),
        )
