"""
Test harness: the data path of one instance with scripted targets.

Time is a manual clock; callers and targets are connected in memory.
"""

import socket
from itertools import count

from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from cicadahoist.clock import Clock
from cicadahoist.errors import NotSentError
from cicadahoist.listings import Listing
from cicadahoist.loop_times import LoopTimes
from cicadahoist.metrics import PREFIX, Metrics
from cicadahoist.platform.dialect import Dialect
from cicadahoist.policy.retry_share import RetryTerms
from cicadahoist.policy.stream_versions.version_record import (
    RecordCopy,
    VersionRecord,
)
from cicadahoist.requests import RepeatRule
from cicadahoist.rules import (
    CallerLimits,
    Deployment,
    EngineSizes,
    KeyHolder,
    RouteRule,
    ServiceRule,
    ServiceShare,
)
from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.front import Front
from cicadahoist.serving.inbound import CallerConnection, CallerConnections
from cicadahoist.serving.outbound import TargetConnection
from cicadahoist.serving.target_connections import Reachability
from cicadahoist.serving.target_pool import TargetPool

HOST = 'h.example'
ATTEMPT_NUMBERS = count(1)


class Socket:
    """Socket of an in-memory transport, for calls that do not read from it."""

    def __init__(self) -> None:
        self.unread = b''
        self.is_closed_by_peer = False

    def recv(self, size, flags):
        assert flags & socket.MSG_PEEK
        if not self.unread and not self.is_closed_by_peer:
            raise BlockingIOError
        return self.unread[:size]

    def setsockopt(self, level, option, bound):
        """Do nothing."""


class Transport(StringTransport):
    """
    In-memory transport that records whether and how it was closed.

    All bytes leave at once.
    """

    dataBuffer = b''
    offset = 0
    _tempDataLen = 0

    def __init__(self) -> None:
        super().__init__()
        self.is_aborted = False
        self.protocol = None
        self._socket = Socket()

    def registerProducer(self, producer, streaming):
        super().registerProducer(producer, streaming)
        while not streaming and self.producer is producer:
            producer.resumeProducing()

    def setTcpNoDelay(self, enabled):
        """Do nothing."""

    def setTcpKeepAlive(self, enabled):
        """Do nothing."""

    def getHandle(self):
        return self._socket

    def close_by_peer(self):
        """Let the peer close; the protocol is not told yet."""
        self._socket.is_closed_by_peer = True

    def receive_unread(self, received):
        """Receive bytes that the protocol does not read yet."""
        self._socket.unread += received

    def abortConnection(self):
        self.is_aborted = True
        self.lose(ConnectionLost())

    def loseConnection(self):
        super().loseConnection()
        self.lose(ConnectionDone())

    def loseWriteConnection(self):
        """Close as a caller does that sees the end of the answers."""
        self.loseConnection()

    def lose(self, error):
        protocol, self.protocol = self.protocol, None
        if protocol is not None:
            protocol.connectionLost(Failure(error))


def connect(protocol):
    transport = Transport()
    transport.protocol = protocol
    protocol.makeConnection(transport)
    return transport


class SentRequest:
    """One attempt as its target receives it, which a test answers."""

    def __init__(self, listing, connection, transport) -> None:
        self.target = listing.name
        self.connection = connection
        self.transport = transport
        self.start = len(transport.value())

    @property
    def request(self):
        return self.transport.value()[self.start :]

    def header(self, name):
        head = self.request.partition(b'\r\n\r\n')[0]
        for line in head.split(b'\r\n')[1:]:
            key, _, text = line.partition(b': ')
            if key.lower() == name.lower():
                return text
        return None

    @property
    def is_closed(self):
        return self.transport.protocol is None

    def answer(self, status=200, body=b'body', headers=(), *, signed=True):
        """Send a complete answer."""
        lines = [b'HTTP/1.1 %d X' % status, b'Content-Length: %d' % len(body)]
        lines.append(b'X-Cicadahoist-Attempt-Id: ' + self.attempt_id)
        if signed:
            lines.append(b'X-Cicadahoist-Server-Seal: seal-of-target')
        lines.extend(headers)
        self.write(b'\r\n'.join(lines) + b'\r\n\r\n' + body)

    def reject(self, status=503):
        """State that the request was not run."""
        self.answer(
            status, b'', [b'X-Cicadahoist-Not-Executed: 1'], signed=False
        )

    def begin_stream(self):
        """Send the head of a chunked stream."""
        self.write(
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n'
            b'X-Cicadahoist-Attempt-Id: ' + self.attempt_id + b'\r\n'
            b'X-Cicadahoist-Server-Seal: seal-of-target\r\n\r\n'
        )

    def send_events(self, *numbers):
        """Send whole events of a stream."""
        for number in numbers:
            self.send_bytes(b'id: %d\ndata: t%d\n\n' % (number, number))

    def send_bytes(self, piece):
        self.write(b'%x\r\n%s\r\n' % (len(piece), piece))

    def end_stream(self):
        self.write(b'0\r\n\r\n')

    def write(self, received):
        self.connection.dataReceived(received)

    def close(self):
        """Close cleanly."""
        self.transport.lose(ConnectionDone())

    def reset(self):
        """Reset the connection."""
        self.transport.lose(ConnectionLost())

    @property
    def attempt_id(self):
        return self.header(b'X-Cicadahoist-Attempt-Id')


class FakeConnections:
    """Replaces `TargetConnections`; records the attempts instead of sending."""

    def __init__(self, clock, paths) -> None:
        self._clock = clock
        self.paths = paths
        self._pools = {}
        self.sent = []
        self.refusing_targets = set()
        self.refused_names = []
        self.frozen_targets = set()
        self.pending_opens_by_target = {}

    def open(self, listing, name='', *, is_new=False):
        if listing.name in self.refusing_targets:
            self.refused_names.append(listing.name)
            return fail(NotSentError('refused', remedy='try another'))
        pool = self._pools.setdefault(listing.name, TargetPool(listing))
        now_ms = self._clock.now_ms()
        connection = None if is_new else pool.acquire(now_ms, name)
        if connection is None:
            connection = TargetConnection(self._clock)
            connect(connection)
        self.sent.append(SentRequest(listing, connection, connection.transport))
        if listing.name in self.pending_opens_by_target:
            waiting = Deferred()
            self.pending_opens_by_target[listing.name].append(
                lambda: waiting.callback((connection, pool))
            )
            return waiting
        return succeed((connection, pool))

    async def check(self, listing):
        if listing.name in self.refusing_targets:
            return Reachability.refused
        if listing.name in self.frozen_targets:
            return Reachability.no_answer
        return Reachability.accepted

    async def test_path(self, listing, period_ms=0):
        """Do nothing: all paths are direct."""

    def retain(self, names):
        """Do nothing: the pools of all targets are kept."""


class Caller:
    """One connection of a caller, and what it has received."""

    def __init__(self, world) -> None:
        self.connection = CallerConnection(
            world.front, world.clock, world.loop_times
        )
        self.transport = connect(self.connection)

    def send(self, path, headers=(), body=b'', method=b'POST'):
        """Send a request and return its attempt id."""
        attempt = b'a%d' % next(ATTEMPT_NUMBERS)
        lines = [method + b' ' + path + b' HTTP/1.1']
        lines.append(b'Host: ' + HOST.encode())
        lines.append(b'X-Cicadahoist-Attempt-Id: ' + attempt)
        lines.append(b'Content-Length: %d' % len(body))
        lines.extend(headers)
        self.write(b'\r\n'.join(lines) + b'\r\n\r\n' + body)
        return attempt

    def write(self, received):
        self.connection.dataReceived(received)

    @property
    def received(self):
        return self.transport.value()

    @property
    def status(self):
        return int(self.received.split(b' ', 2)[1]) if self.received else None

    def header(self, name):
        head = self.received.partition(b'\r\n\r\n')[0]
        for line in head.split(b'\r\n')[1:]:
            key, _, text = line.partition(b': ')
            if key.lower() == name.lower():
                return text
        return None

    @property
    def body(self):
        return self.received.partition(b'\r\n\r\n')[2]

    @property
    def is_closed(self):
        return self.transport.protocol is None

    def disconnect(self):
        self.transport.lose(ConnectionDone())


def route(name, prefix, service, **fields):
    defaults = {
        'repeat': RepeatRule.once,
        'is_streamed': False,
        'timeout_ms': 2000,
        'latency_objective_ms': 150,
        'priority': 0,
        'max_sends': 1,
    }
    return RouteRule(
        name=name,
        host=HOST,
        prefix=prefix,
        shares=(ServiceShare(service, 1),),
        **{**defaults, **fields},
    )


ROUTES = [
    route('submit', '/submit/', 'app'),
    route(
        'lookup',
        '/lookup/',
        'app',
        repeat=RepeatRule.repeatable,
        max_sends=2,
    ),
    route('check', '/check/', 'llm', is_streamed=True, uses_engines=True),
    route(
        'ask',
        '/ask/',
        'llm',
        repeat=RepeatRule.resumable,
        is_streamed=True,
        uses_engines=True,
        max_sends=2,
        timeout_ms=15_000,
        priority=1,
    ),
    route('open', '/open/', 'app', is_open=True),
]


def deployment(version=1, routes=None, keys=('k1',), limits=None):
    return Deployment.from_routes(
        version,
        ROUTES if routes is None else routes,
        [
            ServiceRule(name='app'),
            ServiceRule(
                name='llm', engine=EngineSizes(slots=32, cache_tokens=232_000)
            ),
        ],
        limits or CallerLimits(),
        {key: KeyHolder('w1') for key in keys},
    )


def target(name, service='app', role='', zone='zone-a', **fields):
    return Listing(
        name=name,
        service=service,
        address='10.0.0.1:80',
        zone=zone,
        role=role,
        slots=32,
        **fields,
    )


# Two plain targets, a prefill engine and two decode engines.
TARGETS = [
    target('t1'),
    target('t2'),
    target('p1', 'llm', 'prefill'),
    target('d1', 'llm', 'decode'),
    target('d2', 'llm', 'decode'),
]


HANDLE_BODY = b'{"kv-handle":"h7","tokens":9000,"version":1}'


class World:
    """
    One instance with scripted targets.

    Routes are `/submit/` (once), `/lookup/` (repeatable) and `/open/` of a
    plain service, `/check/` (once) and `/ask/` (resumable) of engines.

    :param is_first_start: whether no instance has served before this one
    """

    def __init__(self, clock=None, *, is_first_start=True) -> None:
        self.clock = clock or Clock.manual()
        self.loop_times = LoopTimes(self.clock)
        self._metric_reader = InMemoryMetricReader()
        self.metrics = Metrics(MeterProvider([self._metric_reader]))
        self.context = ServingContext(
            'zone-a',
            Dialect(),
            self.clock,
            self.metrics,
            RetryTerms(0.2, 100, 10_000),
            None,
        )
        self.connections = FakeConnections(
            self.clock, self.context.fleet.connections.paths
        )
        self.context.fleet.connections = self.connections
        if is_first_start:
            self.apply_record({})
        self.are_keys_fresh = True
        self.freed_handles = []
        self.front = Front(
            self.context, lambda: self.are_keys_fresh, self._free
        )
        self.caller_connections = CallerConnections(
            self.front, self.clock, self.loop_times
        )
        self.context.apply_deployment(deployment())

    def apply_record(self, versions_by_service, revision=0, *, era=0):
        """Apply a complete record of versions, as if it had been read."""
        record = VersionRecord(
            versions_by_service=versions_by_service, era=era, is_complete=True
        )
        self.context.streams.recorded.apply_copy(
            RecordCopy(era, revision, record)
        )

    async def _free(self, handle):
        self.freed_handles.append(handle)

    def add(self, *listings):
        for listing in listings:
            self.context.fleet.directory.put(listing)

    def caller(self):
        return Caller(self)

    def send_request(self, path, *headers, key=b'k1', patience=None, **fields):
        """
        Send a request on a new connection.

        :param patience: time in ms that the caller states that it waits
        :return: the caller
        """
        caller = self.caller()
        extra = list(headers)
        if key:
            extra.append(b'Authorization: Token ' + key)
        if patience is not None:
            extra.append(b'X-Cicadahoist-Deadline-Ms: %d' % patience)
        caller.send(path, extra, **fields)
        return caller

    @property
    def sent(self):
        return self.connections.sent

    def count(self, spec):
        """Return the value of a counter, summed over its labels."""
        data = self._metric_reader.get_metrics_data()
        return sum(
            point.value
            for resource in data.resource_metrics
            for scope in resource.scope_metrics
            for metric in scope.metrics
            if metric.name == f'{PREFIX}_{spec.name}'
            for point in metric.data.data_points
        )


def prompt_headers(tokens=9000, first_tokens=2500, middle_tokens=3800):
    """
    Return the headers that describe a prompt of three cacheable parts.

    :param tokens: length of the prompt
    :param first_tokens: length of its first part
    :param middle_tokens: length of its second part
    """
    last_tokens = tokens - first_tokens - middle_tokens
    return [
        b'X-Cicadahoist-Model: m',
        b'X-Cicadahoist-Token-Count: %d,312' % tokens,
        b'X-Cicadahoist-Prompt-Prefix: aa:%d,bb:%d,cc:%d'
        % (first_tokens, middle_tokens, last_tokens),
    ]


SHORT_PROMPT_HEADERS = [
    b'X-Cicadahoist-Model: m',
    b'X-Cicadahoist-Token-Count: 200,312',
    b'X-Cicadahoist-Prompt-Prefix: aa:50,cc:150',
]
