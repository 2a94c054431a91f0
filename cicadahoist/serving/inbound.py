"""HTTP connections of callers, parsed by h11."""

from collections.abc import Callable
from typing import Any, Protocol

import h11
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol as TwistedProtocol

from cicadahoist.clock import Clock, Timer
from cicadahoist.log import get_logger
from cicadahoist.loop_times import ConnectionInput, LoopTimes
from cicadahoist.outside.sockets import has_unread_input
from cicadahoist.requests import HeaderList
from cicadahoist.rules import CallerLimits
from cicadahoist.serving.clean_close import LastClose
from cicadahoist.serving.meters import Meters
from cicadahoist.serving.peer_close import is_closed_by_peer
from cicadahoist.serving.request_reader import (
    HeadRefusal,
    RawRequest,
    check_incomplete_head,
)
from cicadahoist.serving.unsent_answers import UnsentAnswers
from cicadahoist.serving.upload import HeadJudge, Upload

logger = get_logger(__name__)

HTTP_TIMEOUT = 408
HTTP_UNAVAILABLE = 503
# Bytes of further requests that are read from a connection during an answer.
READ_AHEAD_BYTES = 262_144
# Longest head of a request that any configuration can allow.
MAX_HEAD_BYTES = 1_048_576
# Period of the check of header and idle timeouts, which are given in seconds.
SWEEP_PERIOD_MS = 250
# Time for the last bytes of an answer to be sent before the connection is
# aborted: longer than packets wait at a link that is full, or cut for seconds.
LINGER_MS = 10_000


_CONTINUE = h11.InformationalResponse(status_code=100, headers=[])


class ActiveRequest(Protocol):
    """A request that is being handled."""

    def caller_left(self) -> None:
        """Stop work whose answer no caller awaits."""

    def give_up(self) -> None:
        """Refuse or fail the request, as the process ends."""

    def pause(self) -> None:
        """Stop reading from the target until `resume` is called."""

    def resume(self) -> None:
        """Continue to read from the target."""


class Handler(HeadJudge, Protocol):
    """Handles complete requests."""

    def get_limits(self, since_ms: int) -> CallerLimits:
        """
        Return the limits on sizes and times for what a caller began.

        :param since_ms: begin of its wait, or of its request
        """

    @property
    def is_leaving(self) -> bool:
        """Whether connections are to be closed after their answers."""

    @property
    def meters(self) -> Meters:
        """Metrics of the data path."""

    def handle(self, raw: RawRequest, exchange: 'Exchange') -> ActiveRequest:
        """Start to handle a request."""


class Exchange:
    """
    Writes the answer to one request.

    Nothing is written after the end of the answer or of the connection.

    :param connection: connection of the caller
    """

    __slots__ = ('_connection', 'is_begun', 'is_over')

    def __init__(self, connection: 'CallerConnection') -> None:
        self._connection = connection
        self.is_begun = False
        self.is_over = False

    @property
    def is_awaited(self) -> bool:
        """
        Whether the caller still waits for the end of the answer.

        A close that has reached this instance counts before it is read.
        """
        return not (
            self.is_over or is_closed_by_peer(self._connection.transport)
        )

    def answer(
        self,
        status: int,
        headers: HeaderList,
        body: bytes = b'',
        *,
        closes: bool = False,
        has_body: bool = True,
    ) -> None:
        """
        Send a complete answer.

        :param has_body: whether there is a body, also an empty one, whose
            length is to be stated
        """
        if self.is_over:
            return
        if has_body:
            headers = [*headers, (b'Content-Length', b'%d' % len(body))]
        self._begin(status, headers, closes=closes)
        connection = self._connection
        connection.unsent_answers.add(len(body), connection.transport)
        self.send(body)
        self.finish()

    def begin(self, status: int, headers: HeaderList) -> None:
        """Send the head of an answer whose length is not known."""
        if not self.is_over:
            self._begin(status, headers, has_length=False)

    def send(self, piece: bytes) -> None:
        """Send a piece of the body."""
        if piece and not self.is_over:
            self._connection.write(h11.Data(data=piece))

    def finish(self) -> None:
        """End a complete answer."""
        if not self.is_over:
            self.is_over = True
            self._connection.write(h11.EndOfMessage())
            self._connection.finish_exchange()

    def abort(self) -> None:
        """Close the connection, so that the answer does not look complete."""
        if not self.is_over:
            self.is_over = True
            self._connection.abort()

    def _begin(
        self,
        status: int,
        headers: HeaderList,
        *,
        closes: bool = False,
        has_length: bool = True,
    ) -> None:
        self.is_begun = True
        self._connection.write_head(
            status, headers, closes=closes, has_length=has_length
        )


class BackpressureProducer:
    """
    Stops reading from a target while its caller reads slowly.

    :param active_request: the request that is being handled
    """

    __slots__ = ('_active_request',)

    def __init__(self, active_request: ActiveRequest) -> None:
        self._active_request = active_request

    def pauseProducing(self) -> None:
        """Stop reading from the target."""
        self._active_request.pause()

    def resumeProducing(self) -> None:
        """Continue to read from the target."""
        self._active_request.resume()

    def stopProducing(self) -> None:
        """Do nothing: `connectionLost` reports the loss of the connection."""


class CallerConnection(TwistedProtocol):
    """
    One connection of a caller.

    :param handler: handles the requests
    :param clock: clock of the process
    :param loop_times: turns of the event loop
    """

    transport: Any

    def __init__(
        self, handler: Handler, clock: Clock, loop_times: LoopTimes
    ) -> None:
        self._handler = handler
        self._clock = clock
        self._input = ConnectionInput(loop_times)
        # Earliest arrival of the first byte of the request that is being read.
        self._request_since_ms: int | None = None
        # The configured limit may change while the connection is open.
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        self._exchange: Exchange | None = None
        self.active_request: ActiveRequest | None = None
        self._is_closed = False
        self.last_close = LastClose()
        self._linger: Timer | None = None
        self._read_ahead_bytes = 0
        # Memory for the body that is being read, and for answers that leave.
        self._upload: Upload | None = None
        self.unsent_answers = UnsentAnswers(handler.memory)
        # Begin of the wait for a request, or of its first byte.
        self.wait_started_ms = clock.now_ms()
        # Whether a part of a request has been read, and no more than that.
        self.is_reading = False
        self.on_lost: Callable[[CallerConnection], None] | None = None

    @property
    def is_busy(self) -> bool:
        """Whether a request is read or handled, or an answer is leaving."""
        return (
            self.is_reading
            or self._exchange is not None
            or self._linger is not None
        )

    def connectionMade(self) -> None:
        """Disable Nagle's algorithm, which delays small answers."""
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, received: bytes) -> None:
        """Parse bytes of requests."""
        if self._is_closed:
            return
        if self._request_since_ms is None:
            self._request_since_ms = self._input.since_ms
        if self._exchange is not None:
            self._read_ahead_bytes += len(received)
            if self._read_ahead_bytes > READ_AHEAD_BYTES:
                self.transport.pauseProducing()
        elif not self.is_reading:
            self.is_reading = True
            self.wait_started_ms = self._clock.now_ms()
        self._http.receive_data(received)
        self._read()
        if self._exchange is None and not self._is_closed:
            limits = self._handler.get_limits(self.wait_started_ms)
            error = check_incomplete_head(self._http, limits)
            if error is not None:
                self.refuse_incomplete(HeadRefusal(error))

    def connectionLost(self, reason: Any = None) -> None:
        """Notify the active request that its caller has disconnected."""
        self._is_closed = True
        if self._upload is not None:
            self._upload.drop()
        self.unsent_answers.drop()
        linger = self._linger
        self._linger = None
        if linger is not None and linger.active():
            linger.cancel()
        if self._exchange is not None:
            self._exchange.is_over = True
        active_request = self.active_request
        self.active_request = None
        self._exchange = None
        if active_request is not None:
            active_request.caller_left()
        if self.on_lost is not None:
            self.on_lost(self)

    def write_head(
        self,
        status: int,
        headers: HeaderList,
        *,
        closes: bool,
        has_length: bool,
    ) -> None:
        """Write the head of an answer."""
        has_read_ahead = bool(self._http.trailing_data[0])
        if closes or (self._handler.is_leaving and not has_read_ahead):
            headers = [*headers, (b'Connection', b'close')]
        if not has_length and not self._is_closed:
            version = self._http.their_http_version
            self.last_close.prepare(self.transport, version or b'')
        self.write(h11.Response(status_code=status, headers=headers))

    def write(self, event: Any) -> None:
        """Write a part of an answer."""
        if not self._is_closed:
            self.transport.write(self._http.send(event))

    def finish_exchange(self) -> None:
        """Continue with the next request, or close."""
        self._exchange = None
        if self.active_request is not None:
            self.active_request = None
            self.transport.unregisterProducer()
        if self._read_ahead_bytes > READ_AHEAD_BYTES:
            self.transport.resumeProducing()
        self._read_ahead_bytes = 0
        self.wait_started_ms = self._clock.now_ms()
        self.is_reading = bool(self._http.trailing_data[0])
        if self._is_closed:
            return
        states = (self._http.our_state, self._http.their_state)
        if states != (h11.DONE, h11.DONE):
            self.close()
            return
        self._http.start_next_cycle()
        if self.is_reading:
            self._clock.call_later(0, self._read)
        elif self._handler.is_leaving:
            # The head of an answer that began before did not say so.
            self.close_unused()

    def abort(self) -> None:
        """Close immediately, by a reset where the system allows it."""
        if not self._is_closed:
            self._is_closed = True
            self.transport.abortConnection()

    def close(self) -> None:
        """
        Close after all bytes are sent, or when LINGER_MS have passed.

        While the caller still sends, the connection is only half closed, and
        what arrives is discarded until the caller closes: a close with bytes
        unread resets the connection, and the answer may be lost with it.
        """
        if self._is_closed:
            return
        self._is_closed = True
        if self._upload is not None:
            self._upload.drop()
        self._linger = self._clock.call_later(
            LINGER_MS, self.transport.abortConnection
        )
        self.last_close.start(self.transport, is_half=self.is_reading)
        self.is_reading = False

    def close_unused(self) -> bool:
        """
        Close the connection, unless bytes of a request wait to be read.

        :return: whether it is closed now
        """
        if self._is_closed or has_unread_input(self.transport):
            return False
        self.close()
        return True

    def sweep(self, now_ms: int) -> None:
        """Close the connection if it is idle or sends a request too slowly."""
        self.unsent_answers.check(self.transport)
        if self._exchange is not None or self._is_closed:
            return
        limits = self._handler.get_limits(self.wait_started_ms)
        waited_ms = now_ms - self.wait_started_ms
        if self.is_reading:
            if waited_ms > limits.header_timeout_ms and not has_unread_input(
                self.transport
            ):
                self.refuse_incomplete(HeadRefusal(HTTP_TIMEOUT))
        elif waited_ms > limits.idle_timeout_ms:
            self.close_unused()

    def _read(self) -> None:
        try:
            while self._exchange is None and not self._is_closed:
                event = self._http.next_event()
                refusal = self._process_event(event)
                if refusal is not None:
                    self.refuse_incomplete(refusal)
                elif event is h11.NEED_DATA or event is h11.PAUSED:
                    return
        except h11.RemoteProtocolError as broken:
            self.refuse_incomplete(HeadRefusal(broken.error_status_hint))

    def _process_event(self, event: Any) -> HeadRefusal | None:
        """
        Process a part of a request.

        :return: the refusal, none if the part is accepted
        """
        if isinstance(event, h11.Request):
            limits = self._handler.get_limits(self.wait_started_ms)
            self._upload = Upload(self._handler, limits, event)
            refusal = self._upload.begin(self.refuse_incomplete)
            if refusal is None and self._http.they_are_waiting_for_100_continue:
                self.write(_CONTINUE)
            return refusal
        upload = self._upload
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return None if upload is None else upload.check_head()
        if isinstance(event, h11.Data) and upload is not None:
            return upload.add(bytes(event.data))
        if isinstance(event, h11.EndOfMessage) and upload is not None:
            self._dispatch(upload)
        else:
            self.close()
        return None

    def _dispatch(self, upload: Upload) -> None:
        since_ms = self._request_since_ms
        if since_ms is None:
            since_ms = self._clock.now_ms()
        if not self._http.trailing_data[0]:
            self._request_since_ms = None
        self._upload = None
        raw = upload.finish(since_ms)
        exchange = Exchange(self)
        self._exchange = exchange
        self.is_reading = False
        active_request = self._handler.handle(raw, exchange)
        if self._exchange is exchange:
            self.active_request = active_request
            self.transport.registerProducer(
                BackpressureProducer(active_request), True
            )

    def refuse_incomplete(self, refusal: HeadRefusal) -> None:
        """Refuse a request that was not read completely, and close."""
        if self._is_closed:
            return
        logger.bind(status=refusal.status).info(
            'caller request rejected before it was complete'
        )
        if self._http.our_state in {h11.IDLE, h11.SEND_RESPONSE}:
            headers = [
                *refusal.headers,
                (b'Content-Length', b'0'),
                (b'Connection', b'close'),
            ]
            response = h11.Response(status_code=refusal.status, headers=headers)
            self.write(response)
            self.write(h11.EndOfMessage())
        self.close()


class CallerConnections(Factory):
    """
    All connections of callers.

    :param handler: handles the requests
    :param clock: clock of the process
    :param loop_times: turns of the event loop
    :param max_open: connections that may be open, none for no bound
    """

    noisy = False

    def __init__(
        self,
        handler: Handler,
        clock: Clock,
        loop_times: LoopTimes,
        max_open: int | None = None,
    ) -> None:
        self._handler = handler
        self._clock = clock
        self._loop_times = loop_times
        self._max_open = max_open
        self._connections: set[CallerConnection] = set()
        self._timer: Timer | None = None

    def buildProtocol(self, addr: Any) -> CallerConnection | None:
        """Return the protocol of a new connection, none to close it."""
        is_full = self._max_open is not None and (
            len(self._connections) >= self._max_open
        )
        if is_full and not self._close_longest_unused():
            logger.info('caller connection closed: too many are open')
            return None
        connection = CallerConnection(
            self._handler, self._clock, self._loop_times
        )
        self._connections.add(connection)
        connection.on_lost = self._connections.discard
        return connection

    def start_sweeping(self) -> None:
        """Start to check header and idle timeouts."""
        self._sweep()

    def count_open(self) -> int:
        """Return the number of connections that are not closed yet."""
        return len(self._connections)

    def close_unused(self) -> None:
        """Close connections on which no request is being handled."""
        for connection in list(self._connections):
            if not connection.is_busy:
                connection.close_unused()

    def _close_longest_unused(self) -> bool:
        """Close the connection that is unused longest; return if there is."""
        unused = [one for one in self._connections if not one.is_busy]
        unused.sort(key=_get_wait_start)
        return any(one.close_unused() for one in unused)

    def end_requests(self) -> None:
        """Refuse or fail all requests that are read, as the process ends."""
        for connection in list(self._connections):
            if connection.active_request is not None:
                connection.active_request.give_up()
            elif connection.is_reading:
                connection.refuse_incomplete(HeadRefusal(HTTP_UNAVAILABLE))

    def abort_unsent(self) -> None:
        """Reset the connections whose close would cut an answer unseen."""
        for connection in list(self._connections):
            connection.last_close.abort_unsent(connection.transport)

    def report_unread(self) -> None:
        """Log and count requests that the end of the process leaves unread."""
        for connection in self._connections:
            if not connection.is_busy and has_unread_input(
                connection.transport
            ):
                self._handler.meters.count_closed_under_request()
                logger.info('caller connection closed under a request')

    def stop_sweeping(self) -> None:
        """Stop checking header and idle timeouts."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def _sweep(self) -> None:
        now_ms = self._clock.now_ms()
        for connection in list(self._connections):
            connection.sweep(now_ms)
        self._timer = self._clock.call_later(SWEEP_PERIOD_MS, self._sweep)


def _get_wait_start(connection: CallerConnection) -> int:
    return connection.wait_started_ms
