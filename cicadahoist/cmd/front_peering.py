"""Assembles the exchange between the instances of a deployment."""

from random import Random
from typing import Any, NamedTuple

import msgspec

from cicadahoist.application import Application
from cicadahoist.ids import new_nonce
from cicadahoist.platform.clients import new_store_client
from cicadahoist.platform.settings_file import InstanceSettings
from cicadahoist.policy.caller_admission.departure import EXIT_MARGIN_MS
from cicadahoist.policy.crash_containment import PartHold
from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.held_part_records import HELD_PARTS_KIND
from cicadahoist.serving.held_parts_reader import HeldPartsReader
from cicadahoist.serving.held_parts_writer import HeldPartsWriter
from cicadahoist.serving.instance_records import (
    InstanceIdentity,
    InstanceRecords,
)
from cicadahoist.serving.kind_poller import KindPoller
from cicadahoist.serving.load_exchange import (
    PEER_KIND,
    LoadExchange,
    PeerRecord,
)
from cicadahoist.serving.peers import Peers
from cicadahoist.serving.relay_admission import RelayAdmission
from cicadahoist.serving.relay_client import RelayClient
from cicadahoist.serving.relay_server import RelayServer
from cicadahoist.serving.version_recorder import VersionRecorder
from cicadahoist.serving.watch_fanout import WatchFanout, WatchFanoutTask
from cicadahoist.settings import LARGE_FLEET, LOAD_DIGESTS, SCARCE_PLACES

# New instances affect only shares and loads, so cheap lists that may be seconds
# old are enough to find them.
PEER_PERIOD_MS = 3000
# Instances that start together register within this time.
SECOND_PEER_LIST_MS = 1200
# Instances tell each other new holds; the store has them for those that start
# or were cut off, and brings releases by operators.
HELD_PARTS_PERIOD_MS = 3000
# The tasks that accept callers start after the first list of the holds. A store
# that is away has no configuration either, without which nothing is served.
HELD_PARTS_START_MS = 1000


class Peering(NamedTuple):
    """
    Parts of the exchange between instances that other tasks use.

    :param peers: the liveness of the other instances
    :param relay: opens connections to targets for other instances
    """

    peers: Peers
    relay: RelayServer


def add_peering(
    application: Application,
    context: ServingContext,
    settings: InstanceSettings,
    incarnation: str,
    reactor: Any,
    fanout: WatchFanout,
) -> Peering:
    """
    Add the tasks that register this instance and exchange load with others.

    The relay starts first and stops last: connections that it relays may go on
    until the end of the grace.

    :param incarnation: unique name of this process
    :param fanout: shares watches of the store in the zone
    :return: what other tasks need of them
    """
    context.gossip.set_large_from(application.config.read(LARGE_FLEET))
    context.gossip.set_digests_from(application.config.read(LOAD_DIGESTS))
    context.fleet.balances.set_slots_per_instance(
        application.config.read(SCARCE_PLACES)
    )
    peers = Peers(settings.instance)
    record = PeerRecord(
        settings.host,
        settings.peer_ports[0],
        settings.zone,
        relay_port=settings.peer_ports[0],
        relay_token=new_nonce(),
        takes_digests=True,
        link_mbps=settings.link_mbps or 0,
        core_count=settings.core_count or 0,
    )
    context.quotas.join(settings.instance, incarnation, peers.is_alive)
    relay = _build_relay(application, context, settings, record, reactor)
    exchange = LoadExchange(
        context, settings.instance, incarnation, record, peers, reactor
    )
    poller = KindPoller(
        new_store_client(settings.store_address, reactor),
        PEER_KIND,
        PEER_PERIOD_MS,
        application.clock,
        exchange.apply_list,
        second_after_ms=SECOND_PEER_LIST_MS,
    )
    records = InstanceRecords(
        new_store_client(settings.store_address, reactor),
        application.clock,
        InstanceIdentity(
            kind=PEER_KIND,
            name=settings.instance,
            incarnation=incarnation,
            record=msgspec.to_builtins(record),
        ),
        context.usage,
        context.true_time.now_ms,
        lambda: context.demand.instance_count,
        context.gossip.usage_copies,
    )
    exchange.on_unregistered = records.register_again
    records.on_first_start = context.quotas.claims.delegations.mark_first_start
    fanout.attach(exchange)
    heartbeats = WatchFanoutTask(
        fanout, settings.instance, peers, application.clock
    )
    # Its first read follows the start of the exchange, which receives the
    # origins of streams that begin at versions recorded later.
    recorder = VersionRecorder(
        new_store_client(settings.store_address, reactor),
        context.streams,
        application.clock,
        Random(),
        lambda: context.demand.instance_count,
        application.metrics,
    )
    context.fleet.connections.relays = build_relay_client(
        application, context, settings, peers, reactor
    )
    for task in (
        relay,
        exchange,
        context.quotas,
        poller,
        records,
        recorder,
        heartbeats,
    ):
        application.add(task)
    _add_held_parts(application, context, settings, reactor)
    return Peering(peers, relay)


def build_relay_client(
    application: Application,
    context: ServingContext,
    settings: InstanceSettings,
    peers: Peers,
    reactor: Any,
) -> RelayClient:
    """Return what opens connections to targets through other instances."""
    return RelayClient(
        settings.instance,
        settings.zone,
        peers,
        context.gossip.relays,
        context.meters.relays,
        application.clock,
        reactor,
    )


def _build_relay(
    application: Application,
    context: ServingContext,
    settings: InstanceSettings,
    record: PeerRecord,
    reactor: Any,
) -> RelayServer:
    relay = RelayServer(
        RelayAdmission(record.relay_token, context.fleet.directory),
        record.host,
        record.relay_port,
        settings.grace_ms - EXIT_MARGIN_MS,
        context.meters.relays,
        context.link,
        application.clock,
        reactor,
    )
    context.gossip.relays.is_accepting = lambda: relay.is_accepting
    return relay


def _add_held_parts(
    application: Application,
    context: ServingContext,
    settings: InstanceSettings,
    reactor: Any,
) -> None:
    """Add the tasks that store and read the holds on prompt parts."""
    gossip = context.gossip
    store = new_store_client(settings.store_address, reactor)
    writer = HeldPartsWriter(
        store,
        application.clock,
        Random(),
        lambda: context.demand.instance_count,
    )
    tell_peers = gossip.on_hold

    def tell_and_store(hold: PartHold) -> None:
        tell_peers(hold)
        writer.add(hold)

    gossip.on_hold = tell_and_store
    reader = HeldPartsReader(gossip, context.true_time.now_ms)
    application.add(writer)
    application.add(
        KindPoller(
            store,
            HELD_PARTS_KIND,
            HELD_PARTS_PERIOD_MS,
            application.clock,
            reader.apply_list,
            start_wait_ms=HELD_PARTS_START_MS,
        )
    )
