"""One attempt of a request at one target."""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

import h11
import msgspec
from twisted.internet.defer import Deferred

from cicadahoist.errors import NotSentError
from cicadahoist.listings import Listing
from cicadahoist.log import get_logger
from cicadahoist.policy.caller_admission.memory_budget import HeldBytes
from cicadahoist.policy.stream_continuity.answer_check import StreamFlaw
from cicadahoist.requests import (
    AnswerHead,
    AnswerMeaning,
    Handle,
    HeaderList,
    InboundRequest,
    SendOptions,
)
from cicadahoist.rules import CallerLimits
from cicadahoist.serving.answers.body import ODDLY_FRAMED_METHODS
from cicadahoist.serving.answers.endings import AnswerEnding, AnswerLoss
from cicadahoist.serving.event_stream import EventStream
from cicadahoist.serving.outbound import IDLE_MARGIN_MS, TargetConnection
from cicadahoist.serving.target_connections import TargetConnections

logger = get_logger(__name__)


class Dialect(Protocol):
    """Translates between the wire format of the platform and the core."""

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
        """Return the headers of an answer that this instance composes."""

    def handle_from(self, body: bytes, engine: str, address: str) -> Handle:
        """Decode the answer of an engine that has prefilled a prompt."""


class AttemptOutcome(Enum):
    """
    How an attempt ended.

    ``unsent``: no byte was sent. ``not_run``: the target stated that it did not
    run the request. ``answered``: a complete answer arrived. ``lost``: the
    request was sent, and no complete answer arrived. ``stopped``: this instance
    ended the attempt.
    """

    unsent = 'unsent'
    not_run = 'not-run'
    answered = 'answered'
    lost = 'lost'
    stopped = 'stopped'


class AttemptEnd(msgspec.Struct, frozen=True):
    """
    The end of an attempt.

    :param outcome: how the attempt ended
    :param head: head of the answer, none if none arrived
    :param body: body of the answer, empty if its pieces were passed on
    :param detail: cause of a failure, for the log
    :param is_silent: whether the target counted as silent at the end
    :param ending: how the end of a complete answer is known
    :param is_stranded: whether it may have been lost to its path: to a direct
        one that is down while a peer reaches the target, or to a peer
    :param is_relayed: whether it was sent through a peer
    :param silent_ms: time since the target last sent a byte to this attempt, or
        since its start
    :param is_reused: whether its connection had carried other requests
    :param skipped_count: answers to other requests that came before its own
    :param unsent_bytes: bytes that its target had not acknowledged at its close
    """

    outcome: AttemptOutcome
    head: AnswerHead | None = None
    body: bytes = b''
    detail: str = ''
    is_silent: bool = False
    is_stranded: bool = False
    is_relayed: bool = False
    ending: AnswerEnding | None = None
    silent_ms: int = 0
    is_reused: bool = False
    skipped_count: int = 0
    unsent_bytes: int = 0


# Detail of an attempt that this instance ended because its target was silent.
SILENT = 'silent'
# The same because its path is down while a peer reaches the target.
STRANDED = 'stranded'
# The same because it cannot be told which request the answer belongs to.
UNATTRIBUTED = 'unattributed'
# Details of attempts whose answer cannot be told from another one.
UNATTRIBUTABLE = frozenset(
    (UNATTRIBUTED, AnswerLoss.joined.value, AnswerLoss.foreign.value)
)
# Detail of a complete answer that lacks the signature of its target.
UNSIGNED = 'unsigned'

# Longest answer to a prefill: the handle of a KV cache in JSON.
MAX_HANDLE_BYTES = 65_536

_NOT_RUN = frozenset((AnswerMeaning.not_run, AnswerMeaning.misplaced))

OnPieces = Callable[[AnswerHead, list[bytes]], None]
PrepareSend = Callable[[SendOptions], SendOptions | None]


class Attempt:
    """
    Sends a request to a target and receives its answer.

    :param dialect: encodes the request and decodes the head of the answer
    :param request: the caller's request
    :param listing: the target
    :param options: what is sent along with the request
    :param on_pieces: receives the pieces of a successful answer as they arrive,
        which are whole events if it is a stream; without it the body is
        collected
    :param stream: splits a successful answer into events and shows whether it
        ended whole; none for an answer that is no stream
    """

    __slots__ = (
        '_body',
        '_connection',
        '_dialect',
        '_end_deferred',
        '_head',
        '_is_reused',
        '_on_pieces',
        '_options',
        '_request',
        '_skipped_count',
        '_stream',
        'is_direct',
        'is_paused',
        'is_sent',
        'is_stranded',
        'listing',
        'max_body_bytes',
        'memory',
        'needs_new_connection',
        'on_activity',
        'on_head',
        'on_unread',
        'prepare_send',
    )

    def __init__(
        self,
        dialect: Dialect,
        request: InboundRequest,
        listing: Listing,
        options: SendOptions,
        on_pieces: OnPieces | None = None,
        stream: EventStream | None = None,
    ) -> None:
        self._dialect = dialect
        self._request = request
        self.listing = listing
        self._options = options
        self._on_pieces = on_pieces
        self._stream = stream
        self._body = bytearray()
        self._connection: TargetConnection | None = None
        self._end_deferred: Deferred[AttemptEnd] | None = Deferred()
        self._head: AnswerHead | None = None
        # Whether a late answer to an earlier request may arrive.
        self._is_reused = False
        self._skipped_count = 0
        self.is_sent = False
        # Whether it was sent without a peer.
        self.is_direct = False
        # Whether nothing arrives as its path is down.
        self.is_stranded = False
        # Whether the target may answer an earlier attempt of the request, which
        # has the same id, once more on a connection that it keeps.
        self.needs_new_connection = False
        # Whether the answer is not read, as its caller reads slowly.
        self.is_paused = False
        # Longest body that is collected, unless it is the answer to a prefill.
        self.max_body_bytes = CallerLimits().body_bytes
        # Memory for the body that is collected, none if it is not counted.
        self.memory: HeldBytes | None = None
        # Called when the head or a piece of the answer arrives.
        self.on_activity: Callable[[], None] = _ignore
        # Called with the head of the answer.
        self.on_head: Callable[[AnswerHead], None] = _ignore_head
        # Called while the answer is not read, with the time in ms.
        self.on_unread: Callable[[int], None] = _ignore_unread
        # Called when a connection is open: returns what to send along now, or
        # none if the request is not to be sent any more.
        self.prepare_send: PrepareSend = _keep_options

    @property
    def is_over(self) -> bool:
        """Whether the attempt has ended."""
        return self._end_deferred is None

    @property
    def may_run(self) -> bool:
        """Whether the target runs the request, not only its prefill."""
        return not self._options.prefill_only

    async def run(self, connections: TargetConnections) -> AttemptEnd:
        """Send the request and return the end of the attempt."""
        end_deferred = self._end_deferred
        if end_deferred is None:
            return AttemptEnd(AttemptOutcome.stopped)
        # A late copy is framed by the method of the request that it answers.
        has_odd_framing = self._request.method in ODDLY_FRAMED_METHODS
        try:
            connection, pool = await connections.open(
                self.listing,
                self._request.attempt_id,
                is_new=self.needs_new_connection or has_odd_framing,
            )
        except NotSentError as error:
            self._end_deferred = None
            return AttemptEnd(AttemptOutcome.unsent, detail=str(error))
        options = None if self.is_over else self.prepare_send(self._options)
        if options is None:
            pool.release(connection)
            self._end_deferred = None
            return AttemptEnd(AttemptOutcome.stopped)
        self._connection = connection
        self.is_sent = True
        self.is_direct = not connection.peer
        self._is_reused = connection.is_reused
        outgoing = h11.Request(
            method=self._request.method,
            target=self._request.path,
            headers=self._dialect.target_headers(
                self._request, options, self.listing.address
            ),
        )
        hold = self._request.hold
        connection.send(
            outgoing,
            self._request.body,
            self,
            pool,
            None if hold is None else hold.share(),
            self._request.attempt_id,
        )
        return await end_deferred

    def stop(self) -> None:
        """Close the connection, so that the target stops its work."""
        if self._connection is not None:
            self._connection.abandon()
        self._end(AttemptEnd(AttemptOutcome.stopped, self._head))

    def abandon(self, detail: str) -> None:
        """
        Close the connection, and end the attempt as lost.

        :param detail: what is wrong with the target, for the log
        """
        if self._connection is not None:
            self._connection.abandon()
        self._finish(AttemptOutcome.lost, detail)

    def pause(self) -> None:
        """Stop reading the answer until `resume` is called."""
        self.is_paused = True
        if self._connection is not None:
            self._connection.pause()

    def resume(self) -> None:
        """Continue to read the answer."""
        self.is_paused = False
        if self._connection is not None:
            self._connection.resume()

    def head_received(self, status: int, headers: HeaderList) -> bool:
        """
        Process the head of an answer.

        :return: whether it answers this request; if not, it is skipped
        """
        head = self._dialect.answer_head(self._request, status, headers)
        self.on_activity()
        if head.meaning is AnswerMeaning.foreign:
            self._skipped_count += 1
            _log_skipped(self._request, self.listing, head, self._connection)
            return False
        is_unnamed = not head.named_request and self._is_reused
        if is_unnamed or head.meaning is AnswerMeaning.ambiguous:
            self.abandon(UNATTRIBUTED)
            return False
        self._head = head
        self.on_head(head)
        if not self._accepts(head):
            return False
        if self._connection is not None and head.idle_timeout_ms is not None:
            # The target states whole seconds: 0 s is less than a second.
            self._connection.idle_timeout_ms = (
                head.idle_timeout_ms or IDLE_MARGIN_MS
            )
        return True

    def body_received(self, piece: bytes) -> None:
        """Pass on or collect a piece of the body."""
        self.on_activity()
        head = self._head
        if head is None or head.meaning is not AnswerMeaning.whole:
            self._collect(piece)
            return
        flaw: StreamFlaw | AnswerLoss | None = None
        parts = [piece]
        if self._stream is not None:
            parts, flaw = self._stream.check.select_sound(
                self._stream.feed(piece)
            )
            if flaw is None and self._stream.is_too_long:
                flaw = AnswerLoss.too_long
        if self._on_pieces is None:
            self._collect(piece)
        elif parts or flaw is None:
            self._on_pieces(head, parts)
        if flaw is not None:
            self.abandon(flaw.value)

    def _accepts(self, head: AnswerHead) -> bool:
        """Return whether a success fits its stream; if not, abandon it."""
        if self._stream is None or head.meaning is not AnswerMeaning.whole:
            return True
        flaw = self._stream.check.find_head_flaw(head)
        if flaw is not None:
            self.abandon(flaw.value)
        return flaw is None

    def _collect(self, piece: bytes) -> None:
        if self.memory is not None and not self.memory.try_grow(len(piece)):
            self._body.clear()
            self.abandon(AnswerLoss.no_memory.value)
            return
        self._body += piece
        max_bytes = self.max_body_bytes
        if self._options.prefill_only:
            max_bytes = MAX_HANDLE_BYTES
        if len(self._body) > max_bytes:
            self._body.clear()
            self.abandon(AnswerLoss.too_long.value)

    def answer_ended(self, ending: AnswerEnding) -> None:
        """End the attempt; a stream may have broken off nevertheless."""
        head = self._head
        if (
            self._stream is None
            or head is None
            or head.meaning is not AnswerMeaning.whole
        ):
            self._finish(AttemptOutcome.answered, ending=ending)
            return
        flaw = self._stream.check.find_end_flaw(
            is_inside_event=self._stream.is_inside_event,
            is_stated=ending is AnswerEnding.stated,
        )
        if flaw is not None:
            self._finish(AttemptOutcome.lost, flaw.value)
            return
        rest = self._stream.take_rest()
        if rest and self._on_pieces is not None:
            self._on_pieces(head, [rest])
        self._finish(AttemptOutcome.answered, ending=ending)

    def answer_lost(self, cause: AnswerLoss) -> None:
        """End the attempt without a complete answer."""
        self._finish(AttemptOutcome.lost, cause.value)

    def _finish(
        self,
        outcome: AttemptOutcome,
        detail: str = '',
        ending: AnswerEnding | None = None,
    ) -> None:
        """
        End the attempt.

        A head that states that the request was not run, or that lacks the
        signature, decides the outcome even if the body is incomplete.
        """
        head = self._head
        if head is not None and head.meaning in _NOT_RUN:
            outcome = AttemptOutcome.not_run
        elif head is not None and head.meaning is AnswerMeaning.unsigned:
            if not self._options.prefill_only:
                outcome = AttemptOutcome.lost
                detail = detail or UNSIGNED
        body = bytes(self._body)
        self._body.clear()
        self._end(
            AttemptEnd(
                outcome,
                head,
                body,
                detail,
                ending=ending,
                is_reused=self._is_reused,
                skipped_count=self._skipped_count,
                unsent_bytes=_count_unsent_bytes(self._connection),
            )
        )

    def _end(self, end: AttemptEnd) -> None:
        end_deferred = self._end_deferred
        self._end_deferred = None
        if end_deferred is not None:
            end_deferred.callback(end)
            # What was passed on is counted by the connection of the caller.
            if self.memory is not None:
                self.memory.release()


def _count_unsent_bytes(connection: TargetConnection | None) -> int:
    return 0 if connection is None else connection.unsent_bytes


def _log_skipped(
    request: InboundRequest,
    listing: Listing,
    head: AnswerHead,
    connection: TargetConnection | None,
) -> None:
    """Log an answer to another request, and what its connection has carried."""
    named = head.named_request
    log = logger.bind(
        request=request.attempt_id,
        target=listing.name,
        named=named,
        status=head.status,
    )
    if connection is not None:
        log = log.bind(
            is_reused=connection.is_reused,
            is_earlier=connection.has_carried(named),
            is_relayed=bool(connection.peer),
        )
    log.info('answer to another request skipped')


def _keep_options(options: SendOptions) -> SendOptions:
    """Let the request be sent as it is."""
    return options


def _ignore() -> None:
    """Do nothing."""


def _ignore_head(head: AnswerHead) -> None:
    """Do nothing."""


def _ignore_unread(now_ms: int) -> None:
    """Do nothing."""
