"""Assembles the tasks of one instance on the platform."""

from collections.abc import Callable

from cicadahoist.application import Application
from cicadahoist.cmd.front_duties import DutyAssembly
from cicadahoist.cmd.front_followers import add_followers
from cicadahoist.cmd.front_peering import add_peering
from cicadahoist.cmd.front_terms import build_quota_terms, build_retry_terms
from cicadahoist.ids import new_nonce
from cicadahoist.platform.clients import (
    ORDER_TIMEOUT_MS,
    new_engine_client,
)
from cicadahoist.platform.dialect import Dialect
from cicadahoist.platform.engines import EngineCalls
from cicadahoist.platform.names import READY_PATH
from cicadahoist.platform.settings_file import InstanceSettings
from cicadahoist.policy.caller_admission.connection_bound import (
    compute_max_connections,
)
from cicadahoist.policy.link_queue import LinkQueue
from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.front import Front
from cicadahoist.serving.relay_server import RelayLeave
from cicadahoist.serving.server import FrontServer, ReadyServer
from cicadahoist.serving.settings_watch import SettingsWatch
from cicadahoist.serving.watch_fanout import WatchFanout

# Keyed requests are refused well before a withdrawn key must stop working.
MAX_KEYED_AGE_SHARE = 0.8
# The instance reports not ready before it has to refuse keyed requests.
MAX_READY_AGE_SHARE = 0.6


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
        '_watch_fanout',
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
        self._watch_fanout = WatchFanout(
            self._clock,
            self._incarnation,
            lambda: self._context.is_large_fleet,
            application.metrics,
        )
        self._engine_calls = EngineCalls(
            new_engine_client(self._reactor),
            settings.instance,
            ORDER_TIMEOUT_MS,
            self._context.fleet.notices.record_engine_departure,
        )
        self._context.usage.window_ms = settings.usage_window_ms
        self._context.set_notice(settings.config_ms)
        self._context.quotas.set_terms(build_quota_terms(settings))
        self._context.link = LinkQueue.from_mbps(settings.link_mbps)
        self._context.set_memory_limit(settings.memory_mb)

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
            self._watch_fanout,
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
        followers = add_followers(
            self._application,
            self._context,
            self._settings,
            self._watch_fanout,
            self._reactor,
        )
        self._config_follower = followers.configuration

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
                compute_max_connections(settings.max_descriptors),
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
        return self._is_config_confirmed() and self._is_config_reliable()

    def _is_config_confirmed(self) -> bool:
        share = self._compute_config_age_share()
        return share is not None and share < MAX_KEYED_AGE_SHARE

    def _is_config_reliable(self) -> bool:
        return self._context.currency.is_reliable(
            self._clock.now_ms(),
            has_peers=self._context.demand.instance_count > 1,
        )

    def _may_hold_duties(self) -> bool:
        # Not the version decides, but whether the store is heard.
        return not self._front.is_leaving and self._is_config_confirmed()

    def _is_ready(self) -> bool:
        share = self._compute_config_age_share()
        if (
            share is None
            or share > MAX_READY_AGE_SHARE
            or self._front.is_leaving
            or not self._is_config_reliable()
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
