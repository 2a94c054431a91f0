"""A large fleet whose instances exchange load digests in memory."""

from collections import Counter

import msgspec

from cicadahoist.clock import Clock
from cicadahoist.objects import StoredObject
from tests.test_serving.test_load_exchange import Instance, Network
from tests.test_serving.world import target

STEP_MS = 5
MAX_KEPT = 5000


class CutNetwork(Network):
    """Counts datagrams, and drops those of cut links and of dead instances."""

    def __init__(self):
        super().__init__()
        self.cut_links = set()
        self.dead = set()
        self.frozen = {}
        self.loses = None
        self.in_count = Counter()
        self.out_count = Counter()

    def listenUDP(self, port, protocol, interface, maxPacketSize):
        transport = super().listenUDP(port, protocol, interface, maxPacketSize)
        transport.write = lambda datagram, address: self.carry(
            port, datagram, address[1]
        )
        return transport

    def carry(self, sender, datagram, receiver):
        if sender in self.dead:
            return
        self.out_count[sender] += 1
        if len(self.datagrams) < MAX_KEPT:
            self.datagrams.append(datagram)
        is_lost = self.loses is not None and self.loses(sender, datagram)
        if (sender, receiver) in self.cut_links or receiver in self.dead:
            return
        if is_lost or receiver not in self.by_port:
            return
        self.in_count[receiver] += 1
        if receiver in self.frozen:
            self.frozen[receiver].append((datagram, sender))
        else:
            self.by_port[receiver].datagramReceived(datagram, ('h', sender))

    def cut(self, first, second):
        self.cut_links |= {
            (one, other) for one in first for other in second if one != other
        } | {(other, one) for one in first for other in second if one != other}


class ProcessClock(Clock):
    """The clock of one process, whose calls wait while it is frozen."""

    __slots__ = ('is_frozen', 'waiting')

    @classmethod
    def of_process(cls, clock):
        process = cls(clock.scheduler, clock.now_ms)
        process.is_frozen = False
        process.waiting = []
        return process

    def call_later(self, delay_ms, action, *args):
        return super().call_later(delay_ms, self.run, action, args)

    def run(self, action, args):
        if self.is_frozen:
            self.waiting.append((action, args))
        else:
            action(*args)


class DigestFleet:
    """
    Instances of three zones that have all registered.

    :param zones: zone of each instance
    :param old: numbers of the instances of an earlier build, which take no
        digests
    :param engine_count: engines that all instances use
    :param registered_count: instances whose records all of them have read
    """

    def __init__(self, zones, old=(), engine_count=9, registered_count=None):
        self.clock = Clock.manual()
        self.network = CutNetwork()
        self.old = set(old)
        self.engines = [f'e{number}' for number in range(engine_count)]
        self.instances = []
        for number, zone in enumerate(zones, start=1):
            self.instances.append(self.start_instance(number, zone))
        self.register(self.instances[:registered_count])

    @classmethod
    def of_size(cls, count, **fields):
        return cls(['abc'[number % 3] for number in range(count)], **fields)

    def start_instance(self, number, zone):
        clock = ProcessClock.of_process(self.clock)
        instance = Instance(self.network, number, zone, clock)
        instance.world.add(*(target(name, 'llm') for name in self.engines))
        instance.number = number
        # Small fleets of instances show the same as those of 40 and more.
        instance.world.context.gossip.set_digests_from(12)
        return instance

    def register(self, instances=None):
        """Let all instances read the records of some, by default of all."""
        found = []
        for instance in instances or self.instances:
            record = msgspec.structs.replace(
                instance.record, takes_digests=instance.number not in self.old
            )
            spec = msgspec.to_builtins(record)
            found.append(StoredObject(instance.name, 1, spec))
        for instance in self.instances:
            instance.exchange.apply_list(found)

    def advance(self, delay_ms, each_step=None):
        for _ in range(delay_ms // STEP_MS):
            self.clock.advance(STEP_MS)
            if each_step is not None:
                each_step()

    def freeze(self, instance):
        instance.world.clock.is_frozen = True
        self.network.frozen[instance.number] = []

    def thaw(self, instance):
        clock = instance.world.clock
        clock.is_frozen = False
        calls, clock.waiting = clock.waiting, []
        for action, args in calls:
            action(*args)
        for datagram, sender in self.network.frozen.pop(instance.number):
            instance.exchange.datagramReceived(datagram, ('h', sender))

    def kill(self, instance):
        self.network.dead.add(instance.number)
        instance.stop()

    def find_collector(self, instance):
        """Return the instance that one reports to."""
        name = instance.exchange.digests.collector
        return next(other for other in self.instances if other.name == name)

    def list_collectors(self):
        live = [
            instance
            for instance in self.instances
            if instance.number not in self.network.dead
        ]
        return {self.find_collector(instance).name for instance in live}

    def in_zone(self, zone):
        return [one for one in self.instances if one.record.zone == zone]

    def get_seen(self, instance, engine):
        """Return the prefill tokens of the peers that an instance counts."""
        return instance.board.peer_loads.get_total(engine).prefill_tokens


def set_load(instance, engine, tokens):
    instance.board.get(engine).own_load.prefill_tokens = tokens
