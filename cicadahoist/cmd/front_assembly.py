"""Assembles the tasks of one instance on the platform."""

from collections.abc import Callable
from functools import partial

from cicadahoist.application import Application
from cicadahoist.cmd.front_duties import DutyAssembly
from cicadahoist.cmd.front_peering import add_peering
from cicadahoist.cmd.front_terms import build_quota_terms, build_retry_terms
from cicadahoist.ids import new_nonce
from cicadahoist.objects import Change, StoredObject
from cicadahoist.platform.clients import (
    ORDER_TIMEOUT_MS,
    new_http_client,
    new_store_client,
)
from cicadahoist.platform.configuration import (
    CONFIG_KIND,
    CONFIG_NAME,
    decode_deployment,
)
from cicadahoist.platform.dialect import Dialect
from cicadahoist.platform.discovery import LISTING_KIND, decode_listing
from cicadahoist.platform.engines import EngineCalls
from cicadahoist.platform.names import READY_PATH
from cicadahoist.platform.settings_file import InstanceSettings
from cicadahoist.policy.link_queue import LinkQueue
from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.deployment_source import DeploymentSource
from cicadahoist.serving.front import Front
from cicadahoist.serving.relay_server import RelayLeave
from cicadahoist.serving.server import FrontServer, ReadyServer
from cicadahoist.serving.settings_watch import SettingsWatch
from cicadahoist.serving.store_follower import KindFollower, ListHandler
from cicadahoist.serving.target_source import TargetSource

# Keyed requests are refused well before a withdrawn key must stop working.
MAX_KEYED_AGE_SHARE = 0.8
# The instance reports not ready before it has to refuse keyed requests.
MAX_READY_AGE_SHARE = 0.6
# Targets register within two heartbeats; a list is complete after this time.
LIST_SETTLE_MS = 3500
# How long the store holds a watch of the configuration. This bounds the age of
# what is known about keys; a shorter time costs more calls.
CONFIG_WAIT_MS = 2400
# Targets join, leave and change roles in groups, so changes are batched for
# this time, longer with more instances because a change wakes all of them.
LISTING_GATHER_MS = 120
GATHER_PER_INSTANCE_MS = 5


class FrontAssembly:
    """
    Builds the tasks of one instance.

    :param application: runs the tasks
    :param read_settings: reads the platform's settings of this instance
    """

    __slots__ = (
        '_application',
        '_clock',
        '_config_follower',
        '_context',
        '_engine_calls',
        '_front',
        '_incarnation',
        '_peering',
        '_reactor',
        '_read_settings',
        '_settings',
    )

    def __init__(
        self,
        application: Application,
        read_settings: Callable[[], InstanceSettings],
    ) -> None:
        settings = read_settings()
        self._application = application
        self._read_settings = read_settings
        self._settings = settings
        self._clock = application.clock
        self._reactor = application.clock.scheduler
        self._incarnation = f'{settings.instance}.{new_nonce()}'
        self._context = ServingContext(
            settings.zone,
            Dialect(),
            self._clock,
            application.metrics,
            build_retry_terms(settings),
            self._reactor,
        )
        self._engine_calls = EngineCalls(
            new_http_client(self._reactor),
            settings.instance,
            ORDER_TIMEOUT_MS,
            self._context.fleet.notices.record_engine_departure,
        )
        self._context.usage.window_ms = settings.usage_window_ms
        self._context.set_notice(settings.config_ms)
        self._context.quotas.set_terms(build_quota_terms(settings))
        self._context.link = LinkQueue.from_mbps(settings.link_mbps)

    def build(self) -> None:
        """
        Add all tasks; those that accept callers come last.

        They stop first, after peers are told that the relay is leaving.
        """
        watch = SettingsWatch(
            self._read_settings,
            self._settings,
            self._apply_settings,
            self._clock,
        )
        self._application.on_reload(watch.reload)
        self._application.add(watch)
        self._add_followers()
        self._peering = add_peering(
            self._application,
            self._context,
            self._settings,
            self._incarnation,
            self._reactor,
        )
        self._add_duties()
        self._add_servers()

    def _apply_settings(self, settings: InstanceSettings) -> None:
        """Apply settings that may change while the process runs."""
        self._settings = settings
        self._context.retries.update_terms(build_retry_terms(settings))
        self._context.set_notice(settings.config_ms)
        self._context.quotas.set_terms(build_quota_terms(settings))

    def _add_followers(self) -> None:
        source = DeploymentSource(CONFIG_NAME, decode_deployment)
        source.on_change(self._context.apply_deployment)
        self._config_follower = self._build_follower(
            CONFIG_KIND,
            CONFIG_WAIT_MS,
            source.apply_list,
            source.apply_change,
        )
        targets = TargetSource(
            self._context.fleet.directory,
            decode_listing,
            self._clock,
            lambda: listings.outage_ended_ms,
        )
        listings = self._build_follower(
            LISTING_KIND,
            self._settings.drain_ms,
            self._settle_after_list(targets.apply_list),
            targets.apply_change,
            self._compute_gather_ms,
        )
        self._application.add(self._config_follower)
        self._application.add(listings)
        # The store holds each watch for drain_ms.
        self._context.streams.is_listing_fresh = partial(
            listings.is_confirmed_within, 2 * self._settings.drain_ms
        )

    def _build_follower(
        self,
        kind: str,
        wait_ms: int,
        on_list: ListHandler,
        on_change: Callable[[Change], None],
        gather_ms: Callable[[], int] | None = None,
    ) -> KindFollower:
        store = new_store_client(self._settings.store_address, self._reactor)
        return KindFollower(
            store, kind, wait_ms, self._clock, on_list, on_change, gather_ms
        )

    def _compute_gather_ms(self) -> int:
        instances = self._context.demand.instance_count
        return LISTING_GATHER_MS + GATHER_PER_INSTANCE_MS * instances

    def _settle_after_list(self, apply_list: ListHandler) -> ListHandler:
        """Return a handler of lists that enables orders some time after one."""

        def apply_and_settle(found: list[StoredObject]) -> None:
            apply_list(found)
            if not self._context.fleet.is_settled:
                self._clock.call_later(LIST_SETTLE_MS, self._mark_settled)

        return apply_and_settle

    def _mark_settled(self) -> None:
        self._context.fleet.is_settled = True

    def _add_duties(self) -> None:
        if self._settings.order_address is None:
            return
        duties = DutyAssembly(
            self._context,
            self._settings,
            self._settings.order_address,
            self._incarnation,
            self._reactor,
        )
        self._application.add(
            duties.build_task(
                self._engine_calls, self._peering.peers, self._may_hold_duties
            )
        )

    def _add_servers(self) -> None:
        settings = self._settings
        self._front = Front(
            self._context, self._may_use_keys, self._engine_calls.free_handle
        )
        self._application.add(
            FrontServer(
                self._front,
                settings.caller_address.host,
                settings.caller_address.port,
                settings.grace_ms,
                self._clock,
                self._application.loop_times,
                self._reactor,
            )
        )
        self._application.add(
            ReadyServer(
                self._is_ready,
                READY_PATH,
                settings.readiness_address.host,
                settings.readiness_address.port,
                self._reactor,
            )
        )
        self._application.add(RelayLeave(self._peering.relay))

    def _compute_config_age_share(self) -> float | None:
        """Return the age of the configuration as a share of ``revoke_ms``."""
        age_ms = self._config_follower.age_ms(self._clock.now_ms())
        if age_ms is None:
            return None
        return age_ms / self._settings.revoke_ms

    def _may_use_keys(self) -> bool:
        share = self._compute_config_age_share()
        return share is not None and share < MAX_KEYED_AGE_SHARE

    def _may_hold_duties(self) -> bool:
        return not self._front.is_leaving and self._may_use_keys()

    def _is_ready(self) -> bool:
        share = self._compute_config_age_share()
        if (
            share is None
            or share > MAX_READY_AGE_SHARE
            or self._front.is_leaving
        ):
            return False
        return any(True for _ in self._context.fleet.directory.list_all())


def add_front(
    application: Application, read_settings: Callable[[], InstanceSettings]
) -> None:
    """
    Add the tasks of an instance to an application.

    :param read_settings: reads the platform's settings of this instance
    """
    FrontAssembly(application, read_settings).build()
