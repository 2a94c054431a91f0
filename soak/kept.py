"""Callers that keep connections idle and send requests in parts."""

import math
import re
import socket

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Factory
from zope.interface import implementer

from soak.callers import TIMEOUT_MS_BY_KIND, Caller, ClientConnection
from soak.limits import CONFIG_MS, USED_SHARE, Limits
from soak.promises import Attempt
from soak.proxy import HOST

PARTS_SHARE = 0.5
MAX_PART_COUNT = 4
MAX_BODY_BYTES = 16_000
MAX_SENDING_MS = 1000
MAX_WAIT_MS = 6000
MAX_FIRST_WAIT_MS = 300
RETRY_COUNT = 2
# Time from the end of a connection until a reset must have followed it.
RESET_MS = 50
TIMEOUT_STATUS = 408
BODY_STATUS = 413
KEEP_ALIVE = re.compile(rb'timeout=(\d+)')


@implementer(IHalfCloseableProtocol)
class KeptConnection(ClientConnection):
    """
    Connection to an instance without a proxy between.

    Bytes are written to the socket at once, so that a close which reached it
    before is told from one that came after. A request that was sent whole
    before its instance closed was read if no reset follows the end of the
    connection: the system resets connections that are closed with bytes unread.

    :param world: the deployment
    """

    def __init__(self, world) -> None:
        super().__init__()
        self._world = world
        # End of the last answer, or begin of the connection.
        self.idle_since_ms = world.now_ms()
        # Begin of the request that is under way, if any.
        self.sending_since_ms: int | None = None
        self.is_sent_whole = False
        self.has_crossed = False
        self.is_reset = False
        # When the instance closed the connection, if it did.
        self.closed_ms: int | None = None
        # Idle timeout that the last answer stated.
        self.stated_idle_ms = math.inf
        self.pause_ms = 0.0
        self.part_count = 1
        self.on_close = lambda connection: None

    def connectionLost(self, reason=None) -> None:
        if self.is_open:
            if self.closed_ms is None:
                self.closed_ms = self._world.now_ms()
                self.is_reset = not reason.check(ConnectionDone)
            self.on_close(self)
        super().connectionLost(reason)

    def readConnectionLost(self) -> None:
        if self.is_open:
            self.closed_ms = self._world.now_ms()
        self._world.clock.call_later(RESET_MS, self._check_reset)

    def writeConnectionLost(self) -> None:
        """Do nothing: this side closes both ways at once."""

    def _is_closed_by_instance(self) -> bool:
        """Return whether a close has reached the socket, read or not."""
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        try:
            return not self.transport.getHandle().recv(1, flags)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def _check_reset(self) -> None:
        if self.is_open:
            handle = self.transport.getHandle()
            error = handle.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            self.is_reset = bool(error)
            self.transport.abortConnection()

    def _write_request(self, encoded: bytes) -> None:
        self.sending_since_ms = self._world.now_ms()
        self.is_sent_whole = False
        size = -(-len(encoded) // self.part_count)
        starts = range(0, len(encoded), size)
        self._send_parts([encoded[start : start + size] for start in starts])

    def _send_parts(self, parts: list[bytes]) -> None:
        if not self.is_open:
            return
        self.has_crossed = self._is_closed_by_instance()
        if self.has_crossed:
            return
        try:
            self.transport.getHandle().sendall(parts[0])
        except OSError:
            self.has_crossed = True
            return
        if len(parts) > 1:
            self._world.clock.call_later(
                self.pause_ms, self._send_parts, parts[1:]
            )
            return
        self.is_sent_whole = True
        self.has_crossed = self._is_closed_by_instance()


class KeptCaller(Caller):
    """Uses connections for as long as the limits that it knows allow."""

    def __init__(self, world, rng) -> None:
        super().__init__(world, rng)
        self._delay_ms = CONFIG_MS * rng.random()
        # What the caller might use when it began to send, by limit.
        self._promised = dict.fromkeys(Limits.__struct_fields__, 0.0)
        self._body_bytes = 0
        self._is_retry = False

    async def run(self) -> None:
        while True:
            await self._wait()
            if self.is_stopped:
                return
            await self._send_with_retries(self.rng.choice(('submit', 'lookup')))

    async def _send_with_retries(self, kind: str) -> None:
        self._is_retry = False
        outcome = await self.send_request(kind)
        self._is_retry = True
        for _ in range(RETRY_COUNT):
            if not _may_retry(kind, outcome):
                return
            self.drop_connection()
            outcome = await self.send_request(kind)

    async def _wait(self) -> None:
        connection = self._connection
        longest_ms = MAX_FIRST_WAIT_MS
        if connection is not None and connection.is_open:
            idle_ms = self.world.now_ms() - connection.idle_since_ms
            usable_ms = self._find_usable_ms(connection)
            longest_ms = min(MAX_WAIT_MS, max(0, usable_ms - idle_ms))
        await self.world.clock.sleep(longest_ms * self.rng.random())

    def _record_try(self, attempt_id: str = '') -> None:
        if not self._is_retry:
            super()._record_try(attempt_id)

    def _find_usable_ms(self, connection: KeptConnection) -> float:
        """Return how long a connection may be idle before it is used."""
        known_ms = self._known.idle_timeout_ms
        return USED_SHARE * min(known_ms, connection.stated_idle_ms)

    @property
    def _known(self):
        return self.world.limits.find(self._delay_ms)

    async def _connect(self) -> KeptConnection | None:
        connection = self._connection
        if connection is not None and connection.is_open:
            idle_ms = self.world.now_ms() - connection.idle_since_ms
            if idle_ms <= self._find_usable_ms(connection):
                self._plan_parts(connection)
                return connection
        self.drop_connection()
        self._instance = self.rng.choice(self.world.instances)
        factory = Factory.forProtocol(lambda: KeptConnection(self.world))
        factory.noisy = False
        endpoint = TCP4ClientEndpoint(
            self.world.reactor, HOST, self._instance.front_port, timeout=1
        )
        try:
            connection = await endpoint.connect(factory)
        except Exception:  # noqa: BLE001
            return None
        connection.on_close = self._check_close
        self._connection = connection
        self._plan_parts(connection)
        return connection

    def _plan_parts(self, connection: KeptConnection) -> None:
        """Choose the pauses of a request within the limits known now."""
        for name in self._promised:
            self._promised[name] = self._find_promised(name)
        connection.part_count = 1
        if self.rng.random() < PARTS_SHARE:
            connection.part_count = self.rng.randint(2, MAX_PART_COUNT)
        known_ms = USED_SHARE * self._known.header_timeout_ms
        sending_ms = self.rng.random() * min(known_ms, MAX_SENDING_MS)
        connection.pause_ms = sending_ms / connection.part_count

    def _find_promised(self, name: str) -> float:
        return self.world.limits.find_promised(name, self._delay_ms)

    def _build_body(self, attempt: Attempt) -> bytes:
        known = USED_SHARE * self._known.max_body_bytes
        self._body_bytes = self.rng.randint(0, int(min(known, MAX_BODY_BYTES)))
        return bytes(self._body_bytes)

    def _judge(self, attempt, status, headers, body, is_whole) -> str:
        connection = self._connection
        connection.sending_since_ms = None
        connection.idle_since_ms = self.world.now_ms()
        stated = KEEP_ALIVE.search(headers.get(b'keep-alive', b''))
        if stated:
            connection.stated_idle_ms = 1000 * int(stated[1])
        if status == TIMEOUT_STATUS:
            waited_ms = self.world.now_ms() - attempt.sent_ms
            self._check_promise('LIMIT', 'header_timeout_ms', waited_ms)
        if status == BODY_STATUS:
            self._check_promise('LIMIT', 'max_body_bytes', self._body_bytes)
            return 'too large'
        return super()._judge(attempt, status, headers, body, is_whole)

    def _judge_missing_answer(self, attempt: Attempt) -> str:
        connection = self._connection
        waited_ms = self.world.now_ms() - attempt.sent_ms
        if waited_ms >= TIMEOUT_MS_BY_KIND[attempt.kind]:
            return 'timed out'
        if connection.has_crossed:
            return 'crossed'
        if not connection.is_sent_whole:
            return 'closed midway'
        if connection.is_reset:
            return 'closed unread'
        # Instances are killed once callers are stopped.
        if not self.is_stopped:
            self.world.promises.check_lost(attempt, 'read')
        return 'unanswered'

    def _check_close(self, connection: KeptConnection) -> None:
        """Check a close by the instance against what it promised."""
        closed_ms = connection.closed_ms
        sending_since_ms = connection.sending_since_ms
        if sending_since_ms is None or connection.has_crossed:
            name = 'idle_timeout_ms'
            self._promised[name] = min(
                self._find_promised(name),
                USED_SHARE * connection.stated_idle_ms,
            )
            used_ms = closed_ms - connection.idle_since_ms
        elif not connection.is_sent_whole:
            name, used_ms = 'header_timeout_ms', closed_ms - sending_since_ms
        elif connection.is_reset:
            # Not read, although it was sent in time.
            name = 'idle_timeout_ms'
            used_ms = sending_since_ms - connection.idle_since_ms
        else:
            # Read, so that its answer is missed instead.
            return
        self._check_promise('CLOSED', name, used_ms)

    def _check_promise(self, rule: str, name: str, used: float) -> None:
        if not self.is_stopped and not self._instance.is_ending(
            self.world.now_ms()
        ):
            self.world.promises.check_limit(
                rule,
                self._instance.name,
                name,
                used,
                self._promised[name],
            )


def _may_retry(kind: str, outcome: str) -> bool:
    """Return whether a caller sends a request again after an outcome."""
    if outcome in {'closed unread', 'crossed', 'closed midway', 'refused'}:
        return True
    return kind == 'lookup' and outcome != 'served'
