"""One attempt of a request at one target."""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

import h11
import msgspec
from twisted.internet.defer import Deferred

from cicadahoist.errors import NotSentError
from cicadahoist.listings import Listing
from cicadahoist.requests import (
    AnswerHead,
    AnswerMeaning,
    Handle,
    HeaderList,
    InboundRequest,
    SendOptions,
)
from cicadahoist.serving.outbound import (
    IDLE_MARGIN_MS,
    AnswerLoss,
    TargetConnection,
    TargetConnections,
)


class Dialect(Protocol):
    """Translates between the wire and the core."""

    def request_from(
        self, method: bytes, path: bytes, headers: HeaderList, body: bytes
    ) -> InboundRequest:
        """Decode a caller's request."""

    def target_headers(
        self, request: InboundRequest, options: SendOptions, address: str
    ) -> HeaderList:
        """Return the headers of one attempt."""

    def answer_head(
        self, request: InboundRequest, status: int, headers: HeaderList
    ) -> AnswerHead:
        """Decode the head of a target's answer."""

    def own_headers(
        self, request: InboundRequest | None, retry_after_ms: int | None
    ) -> HeaderList:
        """Return the headers of an answer that no target gave."""

    def handle_from(self, body: bytes, engine: str, address: str) -> Handle:
        """Decode the answer of an engine that has read a prompt."""


class AttemptOutcome(Enum):
    """
    How an attempt ended.

    ``unsent``: no byte left. ``not_run``: the target said so. ``answered``: a
    whole answer. ``lost``: sent, and no whole answer came. ``stopped``: ended
    from this side.
    """

    unsent = 'unsent'
    not_run = 'not-run'
    answered = 'answered'
    lost = 'lost'
    stopped = 'stopped'


class AttemptEnd(msgspec.Struct, frozen=True):
    """
    The end of an attempt.

    :param head: head of the answer, where one came
    :param body: body, unless pieces were passed on as they came
    :param detail: what broke off, for logs
    :param is_silent: whether its target had stopped giving signs of life
    """

    outcome: AttemptOutcome
    head: AnswerHead | None = None
    body: bytes = b''
    detail: str = ''
    is_silent: bool = False


_NOT_RUN = frozenset((AnswerMeaning.not_run, AnswerMeaning.misplaced))

OnPiece = Callable[[AnswerHead, bytes], None]


class Attempt:
    """
    Sends a request to a target and takes its answer.

    :param request: the caller's request
    :param listing: the target
    :param options: how it is sent
    :param on_piece: takes pieces of a success as they come; without it the
        body is collected
    """

    __slots__ = (
        '_body',
        '_connection',
        '_dialect',
        '_end_deferred',
        '_head',
        '_on_piece',
        '_options',
        '_request',
        'is_sent',
        'listing',
        'on_activity',
    )

    def __init__(
        self,
        dialect: Dialect,
        request: InboundRequest,
        listing: Listing,
        options: SendOptions,
        on_piece: OnPiece | None = None,
    ) -> None:
        self._dialect = dialect
        self._request = request
        self.listing = listing
        self._options = options
        self._on_piece = on_piece
        self._body = bytearray()
        self._connection: TargetConnection | None = None
        self._end_deferred: Deferred[AttemptEnd] | None = Deferred()
        self._head: AnswerHead | None = None
        self.is_sent = False
        # Called with each sign of life of the target.
        self.on_activity: Callable[[], None] = _ignore

    @property
    def is_over(self) -> bool:
        """Whether the attempt has ended."""
        return self._end_deferred is None

    @property
    def may_run(self) -> bool:
        """Whether the target runs the request, rather than reads its prompt."""
        return not self._options.prefill_only

    async def run(self, connections: TargetConnections) -> AttemptEnd:
        """Send the request and wait for the end of the answer."""
        end_deferred = self._end_deferred
        if end_deferred is None:
            return AttemptEnd(AttemptOutcome.stopped)
        try:
            connection, pool = await connections.open(self.listing)
        except NotSentError as error:
            return AttemptEnd(AttemptOutcome.unsent, detail=str(error))
        if self._end_deferred is None:
            pool.release(connection)
            return AttemptEnd(AttemptOutcome.stopped)
        self._connection = connection
        self.is_sent = True
        outgoing = h11.Request(
            method=self._request.method,
            target=self._request.path,
            headers=self._dialect.target_headers(
                self._request, self._options, self.listing.address
            ),
        )
        connection.send(outgoing, self._request.body, self, pool)
        return await end_deferred

    def stop(self) -> None:
        """Close the connection, so that the target ends its work."""
        if self._connection is not None:
            self._connection.abandon()
        self._end(AttemptEnd(AttemptOutcome.stopped, self._head))

    def fail_as_silent(self) -> None:
        """Take a silent target for lost, and end its work."""
        if self._connection is not None:
            self._connection.abandon()
        self._finish(AttemptOutcome.lost, 'silent')

    def pause(self) -> None:
        """Read no more for now."""
        if self._connection is not None:
            self._connection.pause()

    def resume(self) -> None:
        """Read again."""
        if self._connection is not None:
            self._connection.resume()

    def head_received(self, status: int, headers: HeaderList) -> bool:
        """Take the head of an answer; false where it answers another one."""
        head = self._dialect.answer_head(self._request, status, headers)
        self.on_activity()
        if head.meaning is AnswerMeaning.foreign:
            return False
        self._head = head
        if self._connection is not None and head.idle_ms is not None:
            # A stated time of 0 s is less than a second.
            self._connection.idle_timeout_ms = head.idle_ms or IDLE_MARGIN_MS
        return True

    def body_received(self, piece: bytes) -> None:
        """Take a piece of the body."""
        self.on_activity()
        head = self._head
        if (
            self._on_piece is not None
            and head is not None
            and head.meaning is AnswerMeaning.whole
        ):
            self._on_piece(head, piece)
        else:
            self._body += piece

    def answer_ended(self) -> None:
        """Take note that the answer is whole."""
        self._finish(AttemptOutcome.answered)

    def answer_lost(self, cause: AnswerLoss) -> None:
        """Take note that no more comes."""
        self._finish(AttemptOutcome.lost, cause.value)

    def _finish(self, outcome: AttemptOutcome, detail: str = '') -> None:
        """End the attempt; what the head states holds without its body."""
        head = self._head
        if head is not None and head.meaning in _NOT_RUN:
            outcome = AttemptOutcome.not_run
        elif head is not None and head.meaning is AnswerMeaning.unsigned:
            if not self._options.prefill_only:
                outcome = AttemptOutcome.lost
                detail = 'unsigned'
        self._end(AttemptEnd(outcome, head, bytes(self._body), detail))

    def _end(self, end: AttemptEnd) -> None:
        end_deferred = self._end_deferred
        self._end_deferred = None
        if end_deferred is not None:
            end_deferred.callback(end)


def _ignore() -> None:
    """Take no note."""
