"""The task that serves callers and drains their requests at shutdown."""

from typing import Any

from twisted.internet.defer import maybeDeferred

from cicadahoist.clock import Clock, Timer
from cicadahoist.config import Config
from cicadahoist.entry.auth import is_key_valid
from cicadahoist.entry.connection import BoundedSite
from cicadahoist.entry.context import EntryContext
from cicadahoist.entry.lingering import LINGER_MS
from cicadahoist.entry.refusal import RequestRefusedError
from cicadahoist.entry.resource import EntryResource
from cicadahoist.log import get_logger
from cicadahoist.mesh.table_sync import TableSync
from cicadahoist.outside.sockets import accept_waiting
from cicadahoist.reasons import Refusal
from cicadahoist.settings import DRAIN_GRACE, DRAIN_LIMIT, ENTRY_PORT
from cicadahoist.table import Table

logger = get_logger(__name__)


class EntryServer:
    """
    Serves the HTTP interface for callers.

    :param config: validated settings
    :param context: shared objects of the entry
    :param table_sync: provides the table in force
    :param reactor: the twisted reactor
    """

    __slots__ = (
        '_config',
        '_context',
        '_is_leaving',
        '_limit',
        '_port',
        '_reactor',
        '_site',
        '_table_sync',
    )

    def __init__(
        self,
        config: Config,
        context: EntryContext,
        table_sync: TableSync,
        reactor: Any,
    ) -> None:
        self._config = config
        self._context = context
        self._table_sync = table_sync
        self._reactor = reactor
        self._is_leaving = False
        self._limit: Timer | None = None
        self._port: Any = None
        self._site: Any = None
        context.set_table_source(table_sync)
        table_sync.add_change_listener(self._apply_table)

    def is_ready(self) -> bool:
        """Return whether the balancer may send requests."""
        return self._table_sync.is_ready() and not self._is_leaving

    async def start(self) -> None:
        """Open the listening port."""
        resource = EntryResource(self._context, self.is_ready)
        self._site = BoundedSite.from_config(
            self._config,
            resource.http_resource(),
            self._clock,
            self._context.metrics,
        )
        self._port = self._reactor.listenTCP(
            self._config.read(ENTRY_PORT), self._site
        )
        logger.bind(port=self._port.getHost().port).info('listening')

    async def stop(self) -> None:
        """
        Drain the open requests and close all connections.

        The port stays open for the drain grace, so that the balancer notices
        that the entry is not ready. Open requests may then finish until the
        drain limit, at which they are aborted. The entry has stopped when the
        last answer has left.
        """
        self._is_leaving = True
        self._site.is_leaving = True
        await self._clock.sleep(self._config.read(DRAIN_GRACE))
        accept_waiting(self._port)
        await maybeDeferred(self._port.stopListening)
        self._context.is_leaving = True
        self._limit = self._clock.call_later(
            self._config.read(DRAIN_LIMIT), self._abort_all
        )
        self._site.close_unused()
        await self._context.open_requests.wait_until_none()
        await self._site.wait_until_closed()
        if self._limit.active():
            self._limit.cancel()

    @property
    def _clock(self) -> Clock:
        return self._context.clock

    def _abort_all(self) -> None:
        logger.bind(open=len(self._context.open_requests)).warning(
            'drain limit reached: aborting the open requests'
        )
        self._context.open_requests.abort_where(
            lambda _: True,
            RequestRefusedError(Refusal.timed_out, 'the instance leaves'),
        )
        self._limit = self._clock.call_later(LINGER_MS, self._site.abort_all)

    def _apply_table(self, old: Table, new: Table) -> None:
        self._context.dispatcher.apply_table(new)
        self._context.open_requests.abort_where(
            lambda grant: (
                bool(grant.key_digest)
                and not is_key_valid(new, grant.key_digest)
            ),
            RequestRefusedError(
                Refusal.key_withdrawn_midway, 'the key was withdrawn'
            ),
        )
