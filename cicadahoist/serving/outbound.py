"""HTTP connections to targets, parsed by h11."""

import socket
from enum import Enum
from typing import Any, Protocol

import h11
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionDone, ConnectionRefusedError
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol as TwistedProtocol

from cicadahoist.clock import MS_PER_S, Clock
from cicadahoist.errors import NotSentError
from cicadahoist.listings import Listing
from cicadahoist.requests import HeaderList
from cicadahoist.serving.peer_close import SocketInput, peek_input

# Targets are a few ms away and accept a connection within one more. An
# unreachable one is abandoned while there is time to use another.
CONNECT_TIMEOUT_MS = 300
# TCP closes a connection on which nothing was acknowledged for this time. It
# counts from the last byte, which may be older than the silence of a target by
# the time until the first probe, and it decides whatever the count of probes.
SILENCE_TIMEOUT_MS = 4000
PROBE_IDLE_S = 1
PROBE_PERIOD_S = 1
# Applies where a target does not state how long it keeps idle connections.
DEFAULT_IDLE_MS = 900
# A target closes idle connections by its own clock, so reuse stops earlier.
IDLE_MARGIN_MS = 400
MAX_IDLE_CONNECTIONS = 64
# A late answer is skipped to keep the attempt, up to this size.
MAX_SKIPPED_BYTES = 131_072


class AnswerEnding(Enum):
    """
    How the end of an answer is known.

    ``stated``: by its length or its last chunk. ``closed``: only by the clean
    close of its connection.
    """

    stated = 'stated'
    closed = 'closed'


class AnswerLoss(Enum):
    """
    Why an answer is incomplete.

    ``inside_event`` and ``no_event``: the framing of a stream ended inside an
    event, or before the first one. ``too_long``: more than an answer or an
    event may hold.
    """

    closed = 'closed'
    reset = 'reset'
    malformed = 'malformed'
    inside_event = 'inside-event'
    no_event = 'no-event'
    too_long = 'too-long'


class Reachability(Enum):
    """
    What a target does with a new connection.

    ``no_answer``: it is frozen or cannot be reached.
    """

    accepted = 'accepted'
    refused = 'refused'
    no_answer = 'no-answer'


class Receiver(Protocol):
    """Receives the answer to one attempt."""

    def head_received(self, status: int, headers: HeaderList) -> bool:
        """
        Process the head of an answer.

        :return: whether it answers this attempt; if not, it is skipped
        """

    def body_received(self, piece: bytes) -> None:
        """Process a piece of the body."""

    def answer_ended(self, ending: AnswerEnding) -> None:
        """Process the end of an answer, as its framing shows it."""

    def answer_lost(self, cause: AnswerLoss) -> None:
        """Process the loss of the rest of the answer."""


class TargetConnection(TwistedProtocol):
    """
    One connection to a target, for one attempt at a time.

    :param clock: clock of the process
    """

    transport: Any

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._http = h11.Connection(h11.CLIENT)
        self._sent_request: h11.Request | None = None
        self._receiver: Receiver | None = None
        self._pool: TargetPool | None = None
        self._ending = AnswerEnding.stated
        self._is_skipping = False
        self._has_skipped = False
        self._skipped_bytes = 0
        self.idle_timeout_ms = DEFAULT_IDLE_MS
        self.idle_since_ms = 0
        self.is_open = True
        self.is_reused = False

    def connectionMade(self) -> None:
        """Set the TCP options that detect dead connections."""
        transport = self.transport
        transport.setTcpNoDelay(True)
        transport.setTcpKeepAlive(True)
        handle = transport.getHandle()
        if handle is None:
            return
        for option, bound in (
            (socket.TCP_KEEPIDLE, PROBE_IDLE_S),
            (socket.TCP_KEEPINTVL, PROBE_PERIOD_S),
            (socket.TCP_USER_TIMEOUT, SILENCE_TIMEOUT_MS),
        ):
            handle.setsockopt(socket.IPPROTO_TCP, option, bound)

    def send(
        self,
        request: h11.Request,
        body: bytes,
        receiver: Receiver,
        pool: 'TargetPool',
    ) -> None:
        """
        Send a complete request.

        :param request: the head of the request
        :param body: the body, empty for none
        :param receiver: receives the answer
        :param pool: where the connection goes after the answer
        """
        self._sent_request = request
        self._receiver = receiver
        self._pool = pool
        pieces = [self._http.send(request)]
        if body:
            pieces.append(self._http.send(h11.Data(data=body)))
        pieces.append(self._http.send(h11.EndOfMessage()))
        self.transport.write(b''.join(filter(None, pieces)))

    def abandon(self) -> None:
        """Close without a report to the receiver; the target stops its work."""
        self._receiver = None
        self.close()

    def close(self) -> None:
        """Close immediately."""
        if self.is_open:
            self.is_open = False
            self.transport.abortConnection()

    def pause(self) -> None:
        """Stop reading until `resume` is called."""
        if self.is_open:
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Continue to read."""
        if self.is_open:
            self.transport.resumeProducing()

    def dataReceived(self, received: bytes) -> None:
        """Parse bytes of the answer."""
        if self._receiver is None:
            # Bytes after a complete answer belong to no request.
            self.close()
            return
        try:
            self._http.receive_data(received)
            self._read_events()
        except h11.RemoteProtocolError:
            self._report_loss(AnswerLoss.malformed)
        if self._is_skipping:
            self._skipped_bytes += len(received)
            if self._skipped_bytes > MAX_SKIPPED_BYTES:
                self._report_loss(AnswerLoss.too_long)

    def connectionLost(self, reason: Any = None) -> None:
        """Complete an answer without a stated length, or report its loss."""
        was_open = self.is_open
        self.is_open = False
        if self._pool is not None:
            self._pool.discard(self)
        if self._receiver is None or not was_open:
            return
        is_clean = reason is not None and reason.check(ConnectionDone)
        if not is_clean:
            self._report_loss(AnswerLoss.reset)
            return
        self._ending = AnswerEnding.closed
        try:
            self._http.receive_data(b'')
            self._read_events()
        except h11.RemoteProtocolError:
            self._report_loss(AnswerLoss.closed)
            return
        if self._receiver is not None:
            self._report_loss(AnswerLoss.closed)

    def _read_events(self) -> None:
        while self._receiver is not None:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            self._process_event(event, self._receiver)

    def _process_event(self, event: Any, receiver: Receiver) -> None:
        if isinstance(event, h11.Response):
            self._process_head(event, receiver)
        elif isinstance(event, h11.Data) and not self._is_skipping:
            receiver.body_received(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._end_answer()
        elif isinstance(event, h11.ConnectionClosed):
            self._report_loss(AnswerLoss.closed)

    def _process_head(self, response: h11.Response, receiver: Receiver) -> None:
        headers = [
            (bytes(name), bytes(text)) for name, text in response.headers
        ]
        is_for_this_attempt = receiver.head_received(
            response.status_code, headers
        )
        self._is_skipping = not is_for_this_attempt

    def _end_answer(self) -> None:
        if self._is_skipping:
            self._read_next_answer()
            return
        receiver = self._receiver
        self._receiver = None
        self._release_or_close()
        if receiver is not None:
            receiver.answer_ended(self._ending)

    def _read_next_answer(self) -> None:
        """Continue after the skipped late answer to an earlier request."""
        rest, _ = self._http.trailing_data
        self._http = h11.Connection(h11.CLIENT)
        self._is_skipping = False
        self._has_skipped = True
        if self._sent_request is not None:
            self._http.send(self._sent_request)
            if self._http.our_state is h11.SEND_BODY:
                length = dict(self._sent_request.headers).get(
                    b'content-length', b'0'
                )
                if int(length):
                    self._http.send(h11.Data(data=bytes(int(length))))
                self._http.send(h11.EndOfMessage())
        if rest:
            # h11 takes an empty piece for the end of the connection.
            self._http.receive_data(rest)

    def _release_or_close(self) -> None:
        """Return the connection to its pool, or close it if not reusable."""
        http = self._http
        is_done = (http.our_state, http.their_state) == (h11.DONE, h11.DONE)
        if not is_done or http.trailing_data[0] or self._has_skipped:
            self.close()
            return
        http.start_next_cycle()
        self.idle_since_ms = self._clock.now_ms()
        self.is_reused = True
        if self._pool is not None and self.is_open:
            self._pool.release(self)

    def _report_loss(self, cause: AnswerLoss) -> None:
        receiver = self._receiver
        self._receiver = None
        self.close()
        if receiver is not None:
            receiver.answer_lost(cause)


class TargetPool:
    """
    Idle connections to one target.

    :param listing: the target
    """

    __slots__ = ('_idle', 'listing')

    def __init__(self, listing: Listing) -> None:
        self.listing = listing
        self._idle: list[TargetConnection] = []

    def belongs_to(self, listing: Listing) -> bool:
        """Return whether the connections lead to the listed process."""
        known = self.listing
        return (known.address, known.started_ms) == (
            listing.address,
            listing.started_ms,
        )

    def acquire(self, now_ms: int) -> TargetConnection | None:
        """Return an idle connection that the target keeps open, or none."""
        while self._idle:
            connection = self._idle.pop()
            max_idle_ms = connection.idle_timeout_ms - IDLE_MARGIN_MS
            if not connection.is_open:
                continue
            # The target may have closed it, or sent bytes of no request.
            is_quiet = peek_input(connection.transport) is SocketInput.nothing
            if is_quiet and now_ms - connection.idle_since_ms <= max_idle_ms:
                return connection
            connection.close()
        return None

    def release(self, connection: TargetConnection) -> None:
        """Keep a connection for later attempts; close it beyond the limit."""
        if len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            connection.close()

    def discard(self, connection: TargetConnection) -> None:
        """Remove a connection that was closed."""
        if connection in self._idle:
            self._idle.remove(connection)

    def close(self) -> None:
        """Close all idle connections."""
        idle = self._idle
        self._idle = []
        for connection in idle:
            connection.close()


class TargetConnections:
    """
    Connections to all targets.

    :param reactor: the twisted reactor
    :param clock: clock of the process
    """

    __slots__ = ('_clock', '_pools_by_name', '_reactor')

    def __init__(self, reactor: Any, clock: Clock) -> None:
        self._reactor = reactor
        self._clock = clock
        self._pools_by_name: dict[str, TargetPool] = {}

    async def open(
        self, listing: Listing
    ) -> tuple[TargetConnection, TargetPool]:
        """
        Return an idle or new connection to a target, and its pool.

        :raises NotSentError: the target accepted no connection
        """
        pool = self._pools_by_name.get(listing.name)
        if pool is not None and not pool.belongs_to(listing):
            pool.close()
            pool = None
        if pool is None:
            pool = TargetPool(listing)
            self._pools_by_name[listing.name] = pool
        connection = pool.acquire(self._clock.now_ms())
        if connection is None:
            connection = await self._connect(listing)
        return connection, pool

    async def check(self, listing: Listing) -> Reachability:
        """Open and close a new connection to a target."""
        try:
            connection = await self._connect(listing)
        except NotSentError as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                return Reachability.refused
            return Reachability.no_answer
        connection.close()
        return Reachability.accepted

    def retain(self, names: set[str]) -> None:
        """Close the idle connections to all targets that are not named."""
        for name in list(self._pools_by_name):
            if name not in names:
                self._pools_by_name.pop(name).close()

    async def _connect(self, listing: Listing) -> TargetConnection:
        host, port = listing.endpoint
        endpoint = TCP4ClientEndpoint(
            self._reactor, host, port, timeout=CONNECT_TIMEOUT_MS / MS_PER_S
        )
        factory: Any = Factory.forProtocol(
            lambda: TargetConnection(self._clock)
        )
        factory.noisy = False
        try:
            return await endpoint.connect(factory)
        except Exception as error:
            raise NotSentError(
                f'{listing.name} at {listing.address}: {error!r}',
                remedy='send it to another target',
            ) from error
