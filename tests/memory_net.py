"""In-process HTTP hosts with in-memory connections on a manual clock."""

from socket import socketpair

from twisted.internet.address import IPv4Address
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import Protocol
from twisted.internet.task import Clock as ManualTime
from twisted.internet.testing import MemoryReactorClock
from twisted.test import iosim
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory
from twisted.web.server import Site
from zope.interface import implementer

from cicadahoist.clock import Clock

STEP_MS = 10


# Both ends of a connection on which nothing is ever sent.
SILENT_SOCKETS = socketpair()


class HalfClosingTransport(iosim.FakeTransport):
    """In-memory transport whose half-close ends the connection."""

    dataBuffer = b''
    offset = 0
    _tempDataLen = 0

    def getHandle(self):
        return SILENT_SOCKETS[0]

    def loseWriteConnection(self):
        self.loseConnection()


class Host:
    """A server that tests can kill, freeze and start again."""

    def __init__(self, site) -> None:
        self.site = site
        self.is_up = True
        self.is_frozen = False
        self.pumps = []

    def connect(self, factory):
        server = self.site.buildProtocol(IPv4Address('TCP', '127.0.0.1', 1))
        client = factory.buildProtocol(None)
        pump = iosim.connect(
            server,
            HalfClosingTransport(server, isServer=True),
            client,
            iosim.makeFakeClient(client),
        )
        self.pumps.append(pump)
        return client

    def flush(self) -> bool:
        """Move bytes on all connections; return whether any moved."""
        if self.is_frozen:
            return False
        has_moved = [pump.pump() for pump in list(self.pumps)]
        self.pumps = [
            pump
            for pump in self.pumps
            if not (pump.clientIO.disconnected and pump.serverIO.disconnected)
        ]
        return any(has_moved)

    def kill(self) -> None:
        """Break all connections and refuse new ones."""
        self.is_up = False
        pumps, self.pumps = self.pumps, []
        for pump in pumps:
            pump.serverIO.abortConnection()
            pump.flush()


@implementer(IAgentEndpointFactory)
class Endpoints:
    def __init__(self, net) -> None:
        self._net = net

    def endpointForURI(self, uri):
        return Endpoint(self._net, f'{uri.host.decode()}:{uri.port}')


class Endpoint:
    def __init__(self, net, name) -> None:
        self._net = net
        self._name = name

    def connect(self, factory):
        host = self._net.hosts.get(self._name)
        if host is None or not host.is_up:
            return fail(ConnectionRefusedError())
        return succeed(host.connect(factory))


class Answer(Protocol):
    """Collects status, headers and body of an answer as they arrive."""

    def __init__(self) -> None:
        self.status = 0
        self.headers = Headers()
        self.body = b''
        self.is_over = False
        self.failure = None

    def take(self, response) -> None:
        self.status = response.code
        self.headers = response.headers
        response.deliverBody(self)

    def refuse(self, failure) -> None:
        self.failure = failure
        self.is_over = True

    def dataReceived(self, received) -> None:
        self.body += received

    def connectionLost(self, reason=None) -> None:
        self.is_over = True

    def leave(self) -> None:
        """Close the connection from the caller's side."""
        self.transport.stopProducing()


class MemoryNet:
    """All hosts of a test, by ``host:port``."""

    def __init__(self) -> None:
        self.time = ManualTime()
        self.busy_ms = 0
        self.clock = Clock(
            self.time, lambda: round(self.time.seconds() * 1000) + self.busy_ms
        )
        self.hosts = {}
        self.reactor = MemoryReactorClock()
        self.reactor.callLater = self.time.callLater
        self.reactor.seconds = self.time.seconds

    def be_busy(self, duration_ms) -> None:
        """Let time pass without running timers."""
        self.busy_ms += duration_ms

    def add(self, name, resource) -> Host:
        return self.add_site(name, Site(resource, reactor=self.reactor))

    def add_site(self, name, site) -> Host:
        self.hosts[name] = Host(site)
        return self.hosts[name]

    def agent(self):
        pool = HTTPConnectionPool(self.reactor, persistent=True)
        pool.retryAutomatically = False
        return Agent.usingEndpointFactory(
            self.reactor, Endpoints(self), pool=pool
        )

    def flush(self) -> None:
        while any([host.flush() for host in list(self.hosts.values())]):
            continue

    def advance(self, delay_ms) -> None:
        """Let time pass in small steps, moving bytes after each."""
        self.flush()
        for _ in range(0, delay_ms, STEP_MS):
            self.time.advance(STEP_MS / 1000)
            self.flush()

    def until(self, is_met, limit_ms=60_000) -> None:
        """Let time pass until a condition is met."""
        for _ in range(0, limit_ms, STEP_MS):
            self.flush()
            if is_met():
                return
            self.time.advance(STEP_MS / 1000)
        raise AssertionError('the condition was never met')

    def result(self, coroutine):
        """Return the result of a coroutine, letting time pass."""
        results = []
        Deferred.fromCoroutine(coroutine).addBoth(results.append)
        self.until(lambda: results)
        if hasattr(results[0], 'raiseException'):
            results[0].raiseException()
        return results[0]
