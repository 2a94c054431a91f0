"""Loads, blames and counts that instances exchange by datagrams."""

from itertools import pairwise
from random import Random

from cicadahoist.objects import StoredObject
from cicadahoist.policy.crash_containment import Blame
from cicadahoist.requests import PromptPart
from cicadahoist.serving.load_exchange import LoadExchange, PeerRecord
from cicadahoist.serving.peers import Peers
from cicadahoist.serving.target_notices import get_life
from tests.test_serving.world import World, deployment, target

PARTS = (PromptPart('guide', 2500), PromptPart('site', 3800))


class Network:
    """Delivers datagrams at once, or drops all of them."""

    def __init__(self):
        self.by_port = {}
        self.drops_all = False
        # Ports of instances that are cut off from all others.
        self.cut_ports = set()
        self.sent = []
        self.datagrams = []

    def listenUDP(self, port, protocol, interface, maxPacketSize):
        self.by_port[port] = protocol
        protocol.transport = Port(self, port)
        return protocol.transport


class Port:
    """Socket of one instance."""

    def __init__(self, network, number):
        self.network = network
        self.number = number

    def stopListening(self):
        """Do nothing."""

    def write(self, datagram, address):
        self.network.sent.append((address[1], len(datagram)))
        self.network.datagrams.append(datagram)
        receiver = self.network.by_port.get(address[1])
        ends = {self.number, address[1]}
        is_cut = self.network.drops_all or ends & self.network.cut_ports
        if receiver is not None and not is_cut:
            receiver.datagramReceived(datagram, ('h', self.number))


class Instance:
    """One instance; the same engine is listed at all of them."""

    def __init__(self, network, number, zone, clock, world=None):
        self.world = world or World(clock)
        self.name = f'i{number}'
        self.record = PeerRecord('h', number, zone)
        if world is None:
            self.world.add(target('p1', 'llm', 'prefill'))
        self.board = self.world.context.fleet.boards.get_board('llm')
        self.peers = Peers(self.name)
        self.unregistered_count = 0
        self.world.context.quotas.join(
            self.name, f'{self.name}.n', self.peers.is_alive
        )
        self.exchange = LoadExchange(
            self.world.context,
            self.name,
            f'{self.name}.n',
            self.record,
            self.peers,
            network,
        )
        self.exchange.on_unregistered = self.count_unregistered
        self.start()

    def stop(self):
        try:
            self.exchange.stop().send(None)
        except StopIteration:
            return

    def start(self):
        try:
            self.exchange.start().send(None)
        except StopIteration:
            return

    def count_unregistered(self):
        self.unregistered_count += 1

    @property
    def gossip(self):
        return self.world.context.gossip


def create_deployment(zones, clock=None, new_world=lambda clock: None):
    network = Network()
    clock = clock or World().clock
    instances = [
        Instance(network, number, zone, clock, new_world(clock))
        for number, zone in enumerate(zones, start=1)
    ]
    found = [
        StoredObject(
            instance.name,
            1,
            {
                'host': 'h',
                'port': instance.record.port,
                'zone': instance.record.zone,
            },
        )
        for instance in instances
    ]
    for instance in instances:
        instance.exchange.apply_list(found)
    return network, clock, instances


def test_a_load_reaches_all_peers():
    _, clock, (first, second, third) = create_deployment(['a', 'a', 'b'])
    first.board.get('p1').own_load.prefill_tokens = 9000
    clock.advance(100)
    for other in (second, third):
        assert other.board.count_prefill_tokens(other.board.get('p1')) == 9000


def test_a_started_prefill_is_sent_to_the_zone_at_once():
    _, clock, (first, second, _) = create_deployment(['a', 'a', 'b'])
    clock.advance(1000)
    first.gossip.on_prefill_started('p1', PARTS)
    clock.advance(4)
    assert (
        second.board.get('p1').prefix_cache.count_cached_tokens(PARTS) == 6300
    )


def test_loads_between_zones_are_sent_less_often_in_a_large_fleet():
    """Guards against traffic that grows with the square of the fleet."""
    network, clock, instances = create_deployment(['a', 'b'] + ['b'] * 40)
    clock.advance(1000)
    network.sent.clear()
    first = instances[0]
    for number in range(100):
        first.board.get('p1').own_load.prefill_tokens = number + 1
        clock.advance(10)
    sent_ports = [port for port, _ in network.sent if port != 1]
    # It sends to the 41 peers of the other zone at most once in 123 ms. The
    # peers repeat an unchanged load at most once in 400 ms.
    to_second = sent_ports.count(2)
    assert to_second <= 1000 // (3 * 41) + 1 + 40 * 3


def test_loads_of_a_busy_instance_stay_within_their_bandwidth():
    """Guard against loads that take the link away from requests (GONE)."""
    network, clock, instances = create_deployment(['a'] * 22 + ['b'] * 58)
    clock.advance(1000)
    first = instances[0]
    network.sent.clear()
    network.drops_all = True
    for instance in instances[1:]:
        instance.stop()
    for number in range(500):
        first.gossip.on_prefill_started('p1', PARTS)
        first.board.get('p1').own_load.prefill_tokens = number + 1
        clock.advance(4)
    sent_bytes = sum(size + 28 for _, size in network.sent)
    # Two seconds, and one load to each peer beyond them; the copies of the
    # usage counts are included.
    assert sent_bytes <= 2 * 80_000 + 79 * 1500


def test_loads_of_a_busy_instance_do_not_expire_at_its_peers():
    """Guard against a busy instance that counts as gone in a large fleet."""
    network, clock, instances = create_deployment(['a'] * 22 + ['b'] * 58)
    first = instances[0]
    engines = [f'p{number}' for number in range(40)]
    first.world.add(*(target(name, 'llm', 'prefill') for name in engines))
    clock.advance(1000)
    for instance in instances[1:]:
        instance.stop()
    sent_ms = []
    network.sent.clear()
    for number in range(1000):
        name = engines[number % len(engines)]
        first.gossip.on_prefill_started(name, PARTS)
        first.board.get(name).own_load.prefill_tokens = 1 + number
        clock.advance(4)
        if {port for port, _ in network.sent}.issuperset(range(23, 81)):
            sent_ms.append(clock.now_ms())
        network.sent.clear()
    gaps_ms = [after - before for before, after in pairwise(sent_ms)]
    # The check for due loads runs each 30 ms.
    assert max(gaps_ms) <= 800 + 30


def test_an_unchanged_load_is_repeated_periodically():
    network, clock, _ = create_deployment(['a', 'a'])
    clock.advance(1000)
    network.sent.clear()
    for _ in range(100):
        clock.advance(20)
    loads_to_second = [port for port, _ in network.sent if port == 2]
    # A load is sent each 400 ms, a copy of the counts each 500 ms.
    assert 7 <= len(loads_to_second) <= 10


def test_loads_of_a_silent_peer_expire():
    network, clock, (first, second) = create_deployment(['a', 'a'])
    first.board.get('p1').own_load.prefill_tokens = 9000
    clock.advance(100)
    network.drops_all = True
    for _ in range(40):
        clock.advance(50)
    assert second.board.count_prefill_tokens(second.board.get('p1')) == 0


def test_blames_reach_all_peers_although_datagrams_are_lost():
    network, clock, (first, second) = create_deployment(['a', 'a'])
    true_ms = first.world.context.true_time.now_ms()
    network.drops_all = True
    first.gossip.on_blame(Blame('d', 't1', true_ms))
    clock.advance(500)
    network.drops_all = False
    clock.advance(500)
    assert not second.gossip.blames.is_empty


def test_counts_are_copied_to_peers_also_at_the_end():
    _, clock, (first, second) = create_deployment(['a', 'a'])
    usage = first.world.context.usage
    usage.count_start('w1', 500_000)
    clock.advance(600)
    usage.count_start('w1', 500_001)
    try:
        first.exchange.stop().send(None)
    except StopIteration:
        clock.advance(2500)
    copies = second.gossip.usage_copies.list_orphans(
        second.world.clock.now_ms()
    )
    assert [copy.windows for copy in copies] == [{'100': {'w1': 2}}]


def test_a_live_holder_lets_standbys_read_the_lease_less_often():
    _, clock, instances = create_deployment(['a', 'b', 'a', 'b', 'a'])
    clock.advance(1000)
    instances[0].gossip.holds_duties = lambda: True
    clock.advance(800)
    others = [
        instance.peers.compute_check_period_s(clock.now_ms())
        for instance in instances[1:]
    ]
    assert others.count(10) >= 2


def test_an_instance_that_is_not_listed_registers_again():
    _, _, (first, second) = create_deployment(['a', 'b'])
    assert first.unregistered_count == 0
    first.exchange.apply_list([])
    assert (first.unregistered_count, second.unregistered_count) == (1, 0)
    assert first.world.context.retries.instance_count == 1


# Guards against relays that refuse all peers, as these know the token of an
# earlier process only: the store has come back from a copy with its record.
def test_an_instance_whose_listed_record_is_an_earlier_one_registers_again():
    _, _, (first, second) = create_deployment(['a', 'b'])
    stored = StoredObject(
        first.name,
        9,
        {
            'host': 'h',
            'port': first.record.port,
            'zone': 'a',
            'relay_token': 'earlier',
        },
    )
    for instance in (first, second):
        instance.exchange.apply_list([stored])
    assert first.unregistered_count == 1


def test_a_datagram_that_is_no_load_is_dropped():
    _, _, (first, _) = create_deployment(['a', 'b'])
    first.exchange.datagramReceived(b'\x00', ('h', 9))
    assert first.board.count_prefill_tokens(first.board.get('p1')) == 0


def test_a_departure_reaches_all_peers_at_once():
    _, clock, instances = create_deployment(['a', 'b'])
    first, second = instances
    for instance in instances:
        instance.world.add(target('t1', started_ms=7))
    directory = first.world.context.fleet.directory
    first.world.context.fleet.notices.record_departure(
        get_life(directory.get('t1'))
    )
    clock.advance(1000)
    listing = second.world.context.fleet.directory.get('t1')
    assert second.world.context.fleet.directory.is_leaving(listing)


def test_no_change_of_a_datagram_raises_an_error():
    network, clock, (first, second) = create_deployment(['a', 'a'])
    first.world.context.gossip.on_prefill_started('p1', PARTS)
    clock.advance(1000)
    rng = Random(5)
    sound = network.datagrams[-1]
    for _ in range(3000):
        changed = bytearray(sound)
        for _ in range(rng.randrange(1, 5)):
            changed[rng.randrange(len(changed))] = rng.randrange(256)
        second.exchange.datagramReceived(
            bytes(changed[: rng.randrange(len(changed) + 1)]), ('h', 9)
        )
    clock.advance(5000)
    assert second.world.context.fleet.directory.get('p1') is not None


def test_back_offs_end_although_all_peers_tell_their_loads():
    """Guards against back-offs that instances tell each other in circles."""
    _, clock, instances = create_deployment(['a'] * 12)
    now_ms = clock.now_ms()
    end_ms = instances[0].board.backoffs.record_rejection('p1', now_ms)
    for step in range(60):
        for number, instance in enumerate(instances):
            instance.board.get('p1').own_load.prefill_tokens = step + number
        clock.advance(5)
    ends_ms = {
        instance.board.backoffs.get_end_ms('p1') for instance in instances
    }
    assert min(ends_ms) > now_ms
    assert max(ends_ms) <= end_ms + 5


# Guards against an instance that starts with an older configuration than the
# one in force, and lets withdrawn keys pass (CONFIG).
def test_instances_tell_each_other_which_configuration_is_in_force():
    _, clock, (first, second) = create_deployment(['a', 'b'])
    clock.advance(1000)
    currency = second.world.context.currency
    assert currency.is_reliable(clock.now_ms(), has_peers=True)
    first.world.context.apply_deployment(deployment(version=2))
    # Reports come twice a second, and this one may lag by a second.
    for _ in range(200):
        clock.advance(10)
    assert not currency.is_reliable(clock.now_ms(), has_peers=True)
    second.world.context.apply_deployment(deployment(version=2))
    assert currency.is_reliable(clock.now_ms(), has_peers=True)
