"""Delivery, full queues, cuts and seeded losses of the transports."""

import pytest
from twisted.internet.epollreactor import EPollReactor

from bench.launch import find_free_port
from cicadahoist.clock import Clock
from cicadahoist.mesh.memory_transport import MemoryNetwork
from cicadahoist.mesh.transport import NngTransport

LIMIT_S = 5


def test_nng_transport_delivers_on_the_reactor():
    reactor = EPollReactor()
    port = find_free_port()
    received = []

    def receive(wire: bytes) -> None:
        received.append(wire)
        if len(received) == 2:
            reactor.stop()

    transport = NngTransport(reactor, '127.0.0.1', port)
    transport.start(receive)
    for wire in (b'one', b'two'):
        assert transport.send(f'127.0.0.1:{port}', wire)
    reactor.callLater(LIMIT_S, reactor.stop)
    reactor.run(installSignalHandlers=False)
    transport.stop()
    assert received == [b'one', b'two']


def test_nng_transport_reports_a_full_queue():
    transport = NngTransport(EPollReactor(), '127.0.0.1', find_free_port())
    address = f'127.0.0.1:{find_free_port()}'
    queued = [transport.send(address, b'lost') for _ in range(100)]
    transport.stop()
    assert queued[0]
    assert not queued[-1]


@pytest.fixture
def clock() -> Clock:
    return Clock.manual()


def test_memory_network_cuts_one_way(clock):
    network = MemoryNetwork(clock)
    received = []
    for address in ('a:1', 'b:1'):
        network.transport(address).start(received.append)
    network.cut('a:1', 'b:1')
    network.transport('a:1').send('b:1', b'to b')
    network.transport('b:1').send('a:1', b'to a')
    clock.advance(1)
    assert received == [b'to a']


def test_memory_network_losses_follow_the_seed(clock):
    def run(seed: int) -> list[bytes]:
        network = MemoryNetwork(clock, seed=seed, loss=0.5, delay_ms=(1, 9))
        received: list[bytes] = []
        network.transport('b:1').start(received.append)
        for number in range(20):
            network.transport('a:1').send('b:1', bytes([number]))
        clock.advance(10)
        return received

    assert run(1) == run(1)
    assert run(1) != run(2)
    assert 0 < len(run(1)) < 20
