"""Assembles the followers of the store: configuration and targets."""

from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple

from cicadahoist.application import Application
from cicadahoist.objects import StoredObject
from cicadahoist.platform.clients import new_store_client
from cicadahoist.platform.configuration import (
    CONFIG_KIND,
    CONFIG_NAME,
    decode_deployment,
)
from cicadahoist.platform.discovery import LISTING_KIND, decode_listing
from cicadahoist.platform.settings_file import InstanceSettings
from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.deployment_source import DeploymentSource
from cicadahoist.serving.store_follower import KindFollower, ListHandler
from cicadahoist.serving.target_source import TargetSource
from cicadahoist.serving.watch_fanout import WatchFanout

# Targets register within two heartbeats; a list is complete after this time.
LIST_SETTLE_MS = 3500
# How long the store holds a watch of the configuration. This bounds the age of
# what is known about keys; a shorter time costs more calls.
CONFIG_WAIT_MS = 2400
# Targets join, leave and change roles in groups, so changes are batched for
# this time, longer with more instances because a change wakes all of them.
LISTING_GATHER_MS = 120
GATHER_PER_INSTANCE_MS = 5


class Followers(NamedTuple):
    """Followers whose state other tasks ask for."""

    configuration: KindFollower
    listings: KindFollower


def add_followers(
    application: Application,
    context: ServingContext,
    settings: InstanceSettings,
    fanout: WatchFanout,
    reactor: Any,
) -> Followers:
    """
    Add the tasks that follow the configuration and the targets.

    :param fanout: shares the watches of a few instances with the others
    """
    clock = application.clock
    source = DeploymentSource(CONFIG_NAME, decode_deployment)
    source.on_change(context.apply_deployment)
    configuration = KindFollower(
        new_store_client(settings.store_address, reactor),
        CONFIG_KIND,
        CONFIG_WAIT_MS,
        clock,
        source.apply_list,
        source.apply_change,
        feed=fanout.add_kind(CONFIG_KIND),
    )
    targets = TargetSource(
        context.fleet.directory,
        decode_listing,
        clock,
        lambda: listings.outage_ended_ms,
    )
    listings = KindFollower(
        new_store_client(settings.store_address, reactor),
        LISTING_KIND,
        settings.drain_ms,
        clock,
        _settle_after_list(context, targets.apply_list),
        targets.apply_change,
        _gather_listings(context, fanout),
        fanout.add_kind(LISTING_KIND),
    )
    for follower in (configuration, listings):
        follower.on_era = context.streams.recorded.apply_era
        application.add(follower)
    # The store holds each watch for drain_ms.
    context.streams.is_listing_fresh = partial(
        listings.is_confirmed_within, 2 * settings.drain_ms
    )
    return Followers(configuration, listings)


def _gather_listings(
    context: ServingContext, fanout: WatchFanout
) -> Callable[[], int]:
    """Return a function that returns the pause after changes of targets."""

    def compute_gather_ms() -> int:
        if fanout.is_reader:
            return LISTING_GATHER_MS
        instances = context.demand.instance_count
        return LISTING_GATHER_MS + GATHER_PER_INSTANCE_MS * instances

    return compute_gather_ms


def _settle_after_list(
    context: ServingContext, apply_list: ListHandler
) -> ListHandler:
    """Return a handler of lists that enables orders some time after one."""

    def mark_settled() -> None:
        context.fleet.is_settled = True

    def apply_and_settle(found: list[StoredObject]) -> None:
        apply_list(found)
        context.streams.recorded.record_relist()
        if not context.fleet.is_settled:
            context.clock.call_later(LIST_SETTLE_MS, mark_settled)

    return apply_and_settle
