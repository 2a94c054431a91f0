"""
Tests of what instances tell each other about themselves as relays.

They guard against peers that are asked although they are leaving or cut off,
and against load reports that the version before cannot read.
"""

import msgspec

from cicadahoist.objects import StoredObject
from cicadahoist.serving.load_exchange import LoadMessage, PeerRecord
from cicadahoist.serving.relay_peers import RelayAddress, RelayState
from tests.test_serving.test_load_exchange import create_deployment

CHECK_PERIOD_MS = 30


class LoadBefore(msgspec.Struct, array_like=True, frozen=True):
    """Load report as the version before sends and reads it."""

    sender: str
    true_ms: int
    by_engine: dict = {}
    closed_by_engine: dict = {}
    blames: tuple = ()
    prefills: tuple = ()
    holds_duties: bool = False
    usage: None = None
    part_news: None = None


def store(name, **fields):
    """Return a peer record as an instance has stored it."""
    record = {'host': 'h', 'port': 2, 'zone': 'b', **fields}
    return StoredObject(name, 1, record)


def test_peers_know_who_accepts_and_who_is_cut_off():
    _, clock, (first, second, third) = create_deployment(['a', 'a', 'b'])
    first.exchange.apply_list(
        [
            store('i1'),
            store('i2', relay_port=5, relay_token='t'),
            store('i3', relay_port=5, relay_token='t'),
        ]
    )
    relays = first.gossip.relays
    clock.advance(1000)
    assert relays.get_state('i2') == RelayState()
    second.gossip.relays.is_accepting = lambda: True
    third.gossip.is_cut_off = lambda: True
    clock.advance(1000)
    assert relays.get_state('i2') == RelayState(is_accepting=True)
    assert relays.get_state('i3') == RelayState(is_cut_off=True)


def test_a_relay_that_leaves_tells_its_zone_at_once():
    """Guard against connections opened through an instance that is leaving."""
    _, clock, (first, second) = create_deployment(['a', 'a'])
    second.gossip.relays.is_accepting = lambda: True
    clock.advance(1000)
    assert first.gossip.relays.get_state('i2').is_accepting
    second.gossip.relays.is_accepting = lambda: False
    clock.advance(CHECK_PERIOD_MS)
    assert not first.gossip.relays.get_state('i2').is_accepting


def test_the_address_of_a_relay_is_read_from_its_record():
    _, _, (first, _) = create_deployment(['a', 'b'])
    first.exchange.apply_list(
        [
            store('i1', relay_port=4, relay_token='own'),
            store('i2', relay_port=5, relay_token='t'),
            store('i3'),
        ]
    )
    relays = first.gossip.relays
    assert relays.get_address('i2') == RelayAddress('h', 5, 't', 'b')
    # Neither this instance nor one of the version before is a relay.
    assert relays.get_address('i1') is None
    assert relays.get_address('i3') is None


def test_the_state_of_a_peer_that_is_gone_is_forgotten():
    """Guard against a peer that restarts with the state of before."""
    _, clock, (first, second) = create_deployment(['a', 'a'])
    second.gossip.relays.is_accepting = lambda: True
    clock.advance(1000)
    first.exchange.apply_list([store('i1')])
    assert first.gossip.relays.get_state('i2') == RelayState()


def test_a_report_of_the_version_before_is_read():
    _, _, (first, _) = create_deployment(['a', 'a'])
    datagram = msgspec.msgpack.encode(LoadBefore('i2', 5, holds_duties=True))
    first.exchange.datagramReceived(datagram, ('h', 2))
    assert 'i2' in first.peers.list_alive(first.world.clock.now_ms())
    assert first.gossip.relays.get_state('i2') == RelayState()


def test_the_version_before_reads_a_report():
    """Guard against instances that do not hear each other in an update."""
    report = LoadMessage('i1', 5, {}, relay=RelayState(is_accepting=True))
    read = msgspec.msgpack.decode(
        msgspec.msgpack.encode(report), type=LoadBefore
    )
    assert read == LoadBefore('i1', 5)


def test_a_record_of_the_version_before_names_no_relay():
    record = msgspec.convert({'host': 'h', 'port': 2}, PeerRecord)
    assert record.relay_port == 0
