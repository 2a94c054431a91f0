"""Composes the tasks of one instance on the platform."""

import msgspec

from cicadahoist.application import Application
from cicadahoist.control.lease_task import LeaseTask
from cicadahoist.control.term_deadlines import TermDeadlines
from cicadahoist.ids import new_nonce
from cicadahoist.objects import StoredObject
from cicadahoist.outside.http import HttpClient
from cicadahoist.platform.cloud import PlatformCalls
from cicadahoist.platform.configuration import (
    CONFIG_KIND,
    CONFIG_NAME,
    deployment_from,
)
from cicadahoist.platform.dialect import Dialect
from cicadahoist.platform.discovery import LISTING_KIND, listing_from
from cicadahoist.platform.engines import EngineCalls
from cicadahoist.platform.names import READY_PATH
from cicadahoist.platform.objects import LeaseObjects, ObjectStore
from cicadahoist.platform.settings_file import InstanceSettings
from cicadahoist.protocol.authority import Authority
from cicadahoist.protocol.lease import LeaseKeeper
from cicadahoist.protocol.orders import OrderBook
from cicadahoist.protocol.timing import LeaseTiming
from cicadahoist.serving.context import RetryTerms, ServingContext
from cicadahoist.serving.deployment_source import DeploymentSource
from cicadahoist.serving.duties import (
    LEASE_KIND,
    LEASE_NAME,
    NoTimer,
    PlatformDuties,
)
from cicadahoist.serving.fleet_orders import RoleChanges, TargetOrders
from cicadahoist.serving.front import Front
from cicadahoist.serving.instance_records import InstanceRecords
from cicadahoist.serving.load_exchange import (
    PEER_KIND,
    LoadExchange,
    PeerRecord,
)
from cicadahoist.serving.server import FrontServer, ReadyServer
from cicadahoist.serving.store_follower import KindFollower, ListTaker
from cicadahoist.serving.target_source import TargetSource
from cicadahoist.serving.usage_report import UsageReport

# The store answers in some ms, sixty times as slowly on a bad day.
STORE_TIMEOUT_MS = 900
CONNECT_TIMEOUT_MS = 500
ORDER_TIMEOUT_MS = 800
# Keyed requests stop well before a withdrawn key must no longer work.
KEY_AGE_SHARE = 0.8
# Callers are sent elsewhere before keyed requests have to be refused.
READY_AGE_SHARE = 0.6
USAGE_PERIOD_MS = 400
ORDER_PERIOD_MS = 500
# Targets register within a heartbeat or two; a list is whole after this time.
SETTLE_MS = 3500
# How long the store holds a watch. The configuration's bounds how long ago a
# key was known to be valid; the others cost a call each.
CONFIG_WAIT_MS = 1000
LISTING_WAIT_MS = 1500
PEER_WAIT_MS = 6000
LEASE_MARGIN_MS = 200


class FrontAssembly:
    """
    Builds the tasks of one instance.

    :param application: runs the tasks
    :param settings: what the platform tells this instance
    """

    __slots__ = (
        '_application',
        '_clock',
        '_config_follower',
        '_context',
        '_engine_calls',
        '_front',
        '_incarnation',
        '_reactor',
        '_settings',
    )

    def __init__(
        self, application: Application, settings: InstanceSettings
    ) -> None:
        self._application = application
        self._settings = settings
        self._clock = application.clock
        self._reactor = application.clock.scheduler
        self._incarnation = f'{settings.instance}.{new_nonce()}'
        terms = RetryTerms(
            settings.retry_share,
            settings.retry_slack,
            settings.retry_window_ms,
        )
        self._context = ServingContext(
            settings.zone,
            Dialect(),
            self._clock,
            application.metrics,
            terms,
            self._reactor,
        )
        self._engine_calls = EngineCalls(
            self._http(), settings.instance, ORDER_TIMEOUT_MS
        )
        self._context.usage.window_ms = settings.usage_window_ms

    def build(self) -> None:
        """Add all tasks, the ones that callers need last."""
        self._add_followers()
        self._add_duties()
        self._add_servers()

    def _store(self) -> ObjectStore:
        """Return a client with connections of its own."""
        return ObjectStore.from_address(
            self._settings.store, self._http(), STORE_TIMEOUT_MS
        )

    def _http(self) -> HttpClient:
        return HttpClient(
            self._reactor, CONNECT_TIMEOUT_MS, send_timeout_ms=STORE_TIMEOUT_MS
        )

    def _add_followers(self) -> None:
        source = DeploymentSource(CONFIG_NAME, deployment_from)
        source.on_change(self._context.use)
        follower = KindFollower(
            self._store(),
            CONFIG_KIND,
            CONFIG_WAIT_MS,
            self._clock,
            source.list_received,
            source.change_received,
        )
        self._config_follower = follower
        targets = TargetSource(
            self._context.directory,
            listing_from,
            self._clock,
            lambda: listings.back_since_ms,
        )
        listings = KindFollower(
            self._store(),
            LISTING_KIND,
            LISTING_WAIT_MS,
            self._clock,
            self._settling(targets.list_received),
            targets.change_received,
        )
        settings = self._settings
        peer = PeerRecord(settings.host, settings.peer_ports[0])
        exchange = LoadExchange(
            self._context, settings.instance, peer, self._reactor
        )
        peers = KindFollower(
            self._store(),
            PEER_KIND,
            PEER_WAIT_MS,
            self._clock,
            exchange.list_received,
            exchange.change_received,
        )
        records = InstanceRecords(
            self._store(),
            self._clock,
            PEER_KIND,
            settings.instance,
            self._incarnation,
            msgspec.to_builtins(peer),
            self._context.usage,
        )
        for task in (follower, listings, exchange, peers, records):
            self._application.add(task)

    def _settling(self, take: ListTaker) -> ListTaker:
        """Return a taker of lists that lets orders begin some time later."""

        def taken(found: list[StoredObject]) -> None:
            take(found)
            if not self._context.is_settled:
                self._clock.call_later(SETTLE_MS, self._settle)

        return taken

    def _settle(self) -> None:
        self._context.is_settled = True

    def _add_duties(self) -> None:
        settings = self._settings
        if settings.orders is None:
            return
        store = self._store()
        duties = PlatformDuties(self._clock, self._context.true_time.now_ms)
        calls = PlatformCalls.from_address(
            settings.orders, self._http(), settings.instance, ORDER_TIMEOUT_MS
        )
        usage = UsageReport(
            store, calls, settings.usage_window_ms, settings.usage_due_ms
        )
        duties.add(usage, USAGE_PERIOD_MS)
        duties.add(
            TargetOrders(self._context, calls, settings.zones), ORDER_PERIOD_MS
        )
        duties.add(
            RoleChanges(self._context, self._engine_calls), ORDER_PERIOD_MS
        )
        timing = LeaseTiming(
            term_ms=settings.term_ms,
            margin_ms=LEASE_MARGIN_MS,
            bound_ms=ORDER_TIMEOUT_MS,
        )
        lease = LeaseKeeper(LEASE_NAME, self._incarnation, timing)
        task = LeaseTask(
            Authority(lease, OrderBook(lease)),
            duties,
            LeaseObjects(store, LEASE_KIND),
            self._clock,
            TermDeadlines(NoTimer()),
            may_stand=self._may_stand,
            may_hold=self._may_stand,
        )
        duties.use(task)
        # The lease lapses when the process ends: it is not given back, so
        # that holders never change within a term.
        self._application.add(Unstopped(task))

    def _add_servers(self) -> None:
        settings = self._settings
        self._front = Front(
            self._context, self._may_use_keys, self._engine_calls.free
        )
        self._application.add(
            FrontServer(
                self._front,
                settings.callers.host,
                settings.callers.port,
                settings.grace_ms,
                self._clock,
                self._reactor,
            )
        )
        self._application.add(
            ReadyServer(
                self._is_ready,
                READY_PATH,
                settings.readiness.host,
                settings.readiness.port,
                self._reactor,
            )
        )

    def _config_age_share(self) -> float | None:
        """Return the age of the configuration against the key bound."""
        age_ms = self._config_follower.age_ms(self._clock.now_ms())
        if age_ms is None:
            return None
        return age_ms / self._settings.revoke_ms

    def _may_use_keys(self) -> bool:
        share = self._config_age_share()
        return share is not None and share < KEY_AGE_SHARE

    def _may_stand(self) -> bool:
        return not self._front.is_leaving and self._may_use_keys()

    def _is_ready(self) -> bool:
        share = self._config_age_share()
        if share is None or share > READY_AGE_SHARE or self._front.is_leaving:
            return False
        return any(True for _ in self._context.directory.everything())


class Unstopped:
    """A task that ends with its process."""

    __slots__ = ('_task',)

    def __init__(self, task: LeaseTask) -> None:
        self._task = task

    async def start(self) -> None:
        """Start the task."""
        await self._task.start()

    async def stop(self) -> None:
        """Leave the task as it is."""


def add_front(application: Application, settings: InstanceSettings) -> None:
    """Add the tasks of an instance to an application."""
    FrontAssembly(application, settings).build()
