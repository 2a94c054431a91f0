"""
Test harness: a relay between two instances, on real loopback sockets.

The reactor is turned by hand, and its time is a manual clock. Targets and raw
peers are plain sockets.
"""

import socket
import struct
from contextlib import contextmanager
from time import sleep

from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader
from twisted.internet.epollreactor import EPollReactor
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from cicadahoist.clock import Clock
from cicadahoist.listings import Listing, TargetDirectory
from cicadahoist.metrics import PREFIX, Metrics
from cicadahoist.policy.link_queue import LinkQueue
from cicadahoist.serving.outbound import TargetConnection
from cicadahoist.serving.peers import Peers
from cicadahoist.serving.relay_admission import RelayAdmission
from cicadahoist.serving.relay_client import RelayClient
from cicadahoist.serving.relay_messages import (
    VERSION,
    RelayRequest,
    encode_request,
)
from cicadahoist.serving.relay_meters import RelayMeters
from cicadahoist.serving.relay_peers import (
    RelayAddress,
    RelayPeers,
    RelayState,
)
from cicadahoist.serving.relay_server import RelayServer
from tests.coroutines import Pending

HOST = '127.0.0.1'
TOKEN = 'token-of-the-relay'
GRACE_MS = 7000
MAX_TURNS = 5000
# Turns after which nothing more happens, where a test expects that.
IDLE_TURNS = 100
TURN_PAUSE_S = 0.001
RESET = struct.pack('ii', 1, 0)


class RelayWorld:
    """
    The relay of one instance, and the client of another one.

    :param limits: limits of the admission
    """

    def __init__(self, **limits) -> None:
        self.clock = Clock.manual()
        self.reactor = EPollReactor()
        self.reactor.seconds = self.clock.scheduler.seconds
        self._metric_reader = InMemoryMetricReader()
        self.meters = RelayMeters(Metrics(MeterProvider([self._metric_reader])))
        self.directory = TargetDirectory()
        self.server = RelayServer(
            RelayAdmission(TOKEN, self.directory, **limits),
            HOST,
            0,
            GRACE_MS,
            self.meters,
            LinkQueue(),
            self.clock,
            self.reactor,
        )
        Pending(self.server.start()).result()
        self.port = self.server._listening_port.getHost().port
        self.relays = RelayPeers()
        self.tell_address(self.port)
        self.peers = Peers('i1')
        self.hear(RelayState(is_accepting=True))
        self.client = RelayClient(
            'i1',
            'zone-a',
            self.peers,
            self.relays,
            self.meters,
            self.clock,
            self.reactor,
        )
        self._sockets = []

    def tell_address(self, port, token=TOKEN):
        """Let the client know of the relay of the peer `i2`."""
        address = RelayAddress(HOST, port, token, 'zone-a')
        self.relays.set_addresses({'i2': address})

    def hear(self, state):
        """Receive a load report of the peer."""
        self.peers.mark_alive('i2', self.clock.now_ms())
        self.relays.record_state('i2', state)

    def connect(self, listing):
        """Begin to open a connection to a target through the peer."""
        return Pending(
            self.client.connect(
                'i2', listing, lambda: TargetConnection(self.clock)
            )
        )

    def open(self, target):
        """Return both ends of a relayed connection."""
        pending = self.connect(target.listing)
        accepted = target.accept()
        self.turn_until(lambda: pending.is_done)
        return pending.result(), accepted

    def open_raw(self, **fields):
        """Return the socket of a peer that has sent a request."""
        raw = self.dial()
        raw.sendall(encode_request(request(**fields)))
        return raw

    def dial(self):
        """Return the socket of a peer that has sent nothing yet."""
        raw = socket.create_connection((HOST, self.port))
        raw.setblocking(False)
        self._sockets.append(raw)
        return raw

    def add_target(self, name='t1', **fields):
        """Return a listed target."""
        target = SocketTarget(self, name, **fields)
        self.directory.put(target.listing)
        return target

    def count(self, name):
        """Return the value of a counter."""
        metrics = self._metric_reader.get_metrics_data()
        for resource in metrics.resource_metrics:
            for scope in resource.scope_metrics:
                for metric in scope.metrics:
                    if metric.name == f'{PREFIX}_{name}':
                        return metric.data.data_points[0].value
        return 0

    def turn(self):
        """Make one turn of the event loop."""
        self.reactor.runUntilCurrent()
        self.reactor.doIteration(0)

    def turn_until(self, condition):
        """Turn until a condition holds; the kernel delivers soon."""
        for _ in range(MAX_TURNS):
            self.turn()
            if condition():
                return
            sleep(TURN_PAUSE_S)
        raise AssertionError('condition never held')

    def turn_for_a_while(self):
        """Turn so often that nothing is under way any more."""
        for _ in range(IDLE_TURNS):
            self.turn()
            sleep(TURN_PAUSE_S)

    def receive(self, one_socket, size):
        """Return bytes that a socket receives."""
        received = b''

        def is_complete():
            nonlocal received
            received += read_some(one_socket, size - len(received))
            return len(received) >= size

        self.turn_until(is_complete)
        return received

    def receive_end(self, one_socket):
        """Return the rest that a socket receives, and how it ends."""
        received = b''

        def is_ended():
            nonlocal received
            try:
                piece = one_socket.recv(65_536)
            except BlockingIOError:
                return False
            received += piece
            return not piece

        try:
            self.turn_until(is_ended)
        except ConnectionResetError:
            return received, 'reset'
        return received, 'closed'

    def list_ends(self):
        """Return both ends of each relayed connection."""
        return [
            end
            for connection in self.server._connections
            for end in (connection.near_end, connection._far_end)
        ]

    def kill(self):
        """End the process of the relay: the kernel closes its sockets."""
        self.reactor.removeAll()
        for end in self.list_ends():
            if end.is_open:
                end.transport.socket.close()

    def close(self):
        for one_socket in self._sockets:
            one_socket.close()
        for selectable in self.reactor.removeAll():
            selectable.connectionLost(Failure(ConnectionLost()))
        for waker in self.reactor._internalReaders:
            waker.connectionLost(None)
        self.reactor._poller.close()

    def keep(self, one_socket):
        """Close a socket at the end of the test."""
        self._sockets.append(one_socket)
        return one_socket


class SocketTarget:
    """A listening socket, and its entry in the list of targets."""

    def __init__(self, world, name, *, backlog=16, **fields) -> None:
        self._world = world
        self.listener = world.keep(socket.create_server((HOST, 0)))
        self.listener.listen(backlog)
        self.listener.setblocking(False)
        port = self.listener.getsockname()[1]
        self.listing = Listing(
            name=name,
            service='app',
            address=f'{HOST}:{port}',
            zone='zone-a',
            **fields,
        )

    def accept(self):
        """Return the next connection."""
        accepted = []

        def try_accept():
            try:
                connection, _ = self.listener.accept()
            except BlockingIOError:
                return False
            accepted.append(connection)
            return True

        self._world.turn_until(try_accept)
        accepted[0].setblocking(False)
        return self._world.keep(accepted[0])

    @property
    def has_caller(self):
        """Whether a connection waits to be accepted."""
        try:
            connection, _ = self.listener.accept()
        except BlockingIOError:
            return False
        connection.close()
        return True

    def refuse(self):
        """Listen no more."""
        self.listener.close()


class Silent:
    """Address at which connections are neither accepted nor refused."""

    def __init__(self, world) -> None:
        self.target = world.add_target(backlog=0)
        # These fill the queue of new connections.
        for _ in range(2):
            filler = world.keep(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(self.target.listener.getsockname())
        self.listing = self.target.listing


class Answer:
    """Receives the answer to one attempt."""

    def __init__(self) -> None:
        self.body = b''
        self.end = None

    def head_received(self, status, headers):
        return True

    def body_received(self, piece):
        self.body += piece

    def answer_ended(self, ending):
        self.end = ending

    def answer_lost(self, cause):
        self.end = cause


@contextmanager
def relay_world(**limits):
    world = RelayWorld(**limits)
    try:
        yield world
    finally:
        world.close()


def request(**fields):
    """Return a request as an instance with the right token sends it."""
    return RelayRequest(
        **{
            'version': VERSION,
            'token': TOKEN,
            'sender': 'i1',
            'relay_id': 'i1/1',
            'target': 't1',
            'started_ms': 0,
            **fields,
        }
    )


def read_some(one_socket, size):
    try:
        return one_socket.recv(size)
    except BlockingIOError:
        return b''


def reset(one_socket):
    """Close a socket by a reset."""
    one_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    one_socket.close()
