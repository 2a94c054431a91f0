"""Cost of the load reports and digests of large fleets."""

import msgspec
from opentelemetry.sdk.metrics import MeterProvider

from bench.slopes.series import (
    SERIES,
    Series,
    measure_cpu_us,
    measure_series,
)
from cicadahoist.clock import Clock
from cicadahoist.metrics import Metrics
from cicadahoist.objects import StoredObject
from cicadahoist.platform.dialect import Dialect
from cicadahoist.policy.load_digests.contributions import MemberMark
from cicadahoist.policy.peer_loads import InFlightLoad
from cicadahoist.policy.retry_share import RetryTerms
from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.digest_messages import (
    REPORT_MARK,
    MemberDigest,
    encode_for_members,
    frame_for_member,
)
from cicadahoist.serving.load_exchange import LoadExchange
from cicadahoist.serving.load_messages import (
    LOAD_CODEC,
    LoadMessage,
    PeerRecord,
)
from cicadahoist.serving.peers import Peers

FLEET_SIZES = (16, 70, 195)
ENGINE_COUNTS = (9, 24, 45)
MEMBER_ENGINES = 5
# The first instance has the fastest link, so that it collects.
FASTEST_MBPS = {'i1': 1000, 'i2': 999}
GOAL_ENGINES = 45
GOAL_INSTANCES = 195


class Wire:
    """Takes what an instance sends."""

    def listenUDP(self, port, protocol, interface):
        protocol.transport = self
        return self

    def stopListening(self):
        """Do nothing."""

    def write(self, datagram, address):
        """Drop a datagram."""


class Receiver:
    """One instance of a large fleet, which has one collector, `i1`."""

    def __init__(self, instances: int, name: str) -> None:
        self.clock = Clock.manual()
        context = ServingContext(
            'a',
            Dialect(),
            self.clock,
            Metrics(MeterProvider()),
            RetryTerms(0.2, 100, 10_000),
            None,
        )
        context.fleet.boards.get_board('llm')
        record = PeerRecord(
            'h', 1, 'a', takes_digests=True, link_mbps=FASTEST_MBPS[name]
        )
        self.exchange = LoadExchange(
            context, name, f'{name}.n', record, Peers(name), Wire()
        )
        self.exchange.transport = Wire()
        self.names = [f'i{number}' for number in range(1, instances + 1)]
        ranks = {name: 1000 - place for place, name in enumerate(self.names)}
        self.exchange.apply_list(
            [
                StoredObject(
                    peer,
                    1,
                    msgspec.to_builtins(
                        PeerRecord(
                            'h', 1, 'a', takes_digests=True, link_mbps=rank
                        )
                    ),
                )
                for peer, rank in ranks.items()
            ]
        )
        self.context = context
        self.step = 0

    def receive(self, datagram: bytes) -> None:
        self.exchange.datagramReceived(datagram, ('h', 1))


def build_load(step: int, engines: int) -> dict[str, InFlightLoad]:
    """Return a load at some engines, of which a third changes each step."""
    return {
        f'engine-{number}': InFlightLoad(
            1000, 2, 1000 + step * (number % 3 == 0)
        )
        for number in range(engines)
    }


def measure_report_us(instances: int, *, is_member: bool) -> float:
    """Return the time to receive one report of another instance."""
    receiver = Receiver(instances, 'i1')

    def receive() -> None:
        receiver.step += 1
        sender = receiver.names[1 + receiver.step % (instances - 1)]
        report = LOAD_CODEC.encode(
            LoadMessage(
                sender,
                receiver.context.true_time.read_own_ms() + receiver.step,
                build_load(receiver.step, MEMBER_ENGINES),
            )
        )
        receiver.receive(REPORT_MARK + report if is_member else report)

    return measure_cpu_us(receive)


def measure_digest_us(
    engines: int, *, instances: int = 70, is_listed: bool = False
) -> float:
    """Return the time to receive one digest."""
    receiver = Receiver(instances, 'i2')
    receiver.receive(LOAD_CODEC.encode(LoadMessage('i1', 1, {})))
    marks = {name: MemberMark(100, 0) for name in receiver.names}
    receiver.clock.advance(1)
    digests = [
        frame_for_member(
            1,
            encode_for_members(
                MemberDigest(
                    'i1',
                    receiver.context.true_time.read_own_ms(),
                    build_load(step, engines),
                    marks=marks if is_listed else None,
                )
            ),
        )
        for step in range(2)
    ]

    def receive() -> None:
        receiver.step += 1
        receiver.receive(digests[receiver.step % 2])

    return measure_cpu_us(receive)


@SERIES.register('loads')
def measure_load_reports() -> list[Series]:
    """Measure what it costs to receive and apply loads."""
    return [
        measure_series(
            'encode, receive and apply a report of a peer',
            'instances',
            'us',
            FLEET_SIZES,
            lambda size: measure_report_us(size, is_member=False),
            GOAL_INSTANCES,
        ),
        measure_series(
            'encode, receive and add a report of a member',
            'instances',
            'us',
            FLEET_SIZES,
            lambda size: measure_report_us(size, is_member=True),
            GOAL_INSTANCES,
        ),
        measure_series(
            'receive and apply a digest',
            'engines',
            'us',
            ENGINE_COUNTS,
            measure_digest_us,
            GOAL_ENGINES,
        ),
        measure_series(
            'receive and apply a digest that lists the instances',
            'instances',
            'us',
            FLEET_SIZES,
            lambda size: measure_digest_us(9, instances=size, is_listed=True),
            GOAL_INSTANCES,
        ),
    ]
