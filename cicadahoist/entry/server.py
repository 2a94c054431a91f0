"""The task that listens to callers and drains on leaving."""

from typing import Any

from twisted.internet.defer import maybeDeferred

from cicadahoist.clock import Clock
from cicadahoist.config import Config
from cicadahoist.entry.auth import is_valid
from cicadahoist.entry.connection import BoundedSite
from cicadahoist.entry.context import EntryContext
from cicadahoist.entry.refusal import RequestRefusedError
from cicadahoist.entry.resource import EntryResource
from cicadahoist.log import get_logger
from cicadahoist.mesh.table_sync import TableSync
from cicadahoist.reasons import Refusal
from cicadahoist.settings import DRAIN_GRACE, DRAIN_LIMIT, ENTRY_PORT
from cicadahoist.table import Table

logger = get_logger(__name__)


class EntryServer:
    """
    Listens to callers.

    :param config: checked settings
    :param context: shared parts of the entry
    :param table_sync: gives the table in force
    :param reactor: the twisted reactor
    """

    __slots__ = (
        '_config',
        '_context',
        '_is_leaving',
        '_port',
        '_reactor',
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
        self._port: Any = None
        context.use_tables(table_sync)
        table_sync.add_change_listener(self._apply)

    def is_ready(self) -> bool:
        """Tell whether the balancer may send requests."""
        return self._table_sync.is_ready() and not self._is_leaving

    async def start(self) -> None:
        """Listen to callers."""
        resource = EntryResource(self._context, self.is_ready)
        site = BoundedSite.from_config(
            self._config,
            resource.http_resource(),
            self._clock,
            self._context.metrics,
        )
        self._port = self._reactor.listenTCP(
            self._config.read(ENTRY_PORT), site
        )
        logger.bind(port=self._port.getHost().port).info('listening')

    async def stop(self) -> None:
        """
        Leave without cutting a request.

        The balancer gets time to notice before the port closes; open
        requests then finish within the limit that the settings give.
        """
        self._is_leaving = True
        await self._clock.sleep(self._config.read(DRAIN_GRACE))
        await maybeDeferred(self._port.stopListening)
        self._context.is_leaving = True
        limit = self._clock.call_later(
            self._config.read(DRAIN_LIMIT), self._cut_off_all
        )
        await self._context.open_requests.until_none()
        if limit.active():
            limit.cancel()

    @property
    def _clock(self) -> Clock:
        return self._context.clock

    def _cut_off_all(self) -> None:
        logger.bind(open=len(self._context.open_requests)).warning(
            'cutting off requests that are open past the drain limit'
        )
        self._context.open_requests.cut_off_where(
            lambda _: True,
            RequestRefusedError(Refusal.timed_out, 'the instance leaves'),
        )

    def _apply(self, old: Table, new: Table) -> None:
        self._context.dispatcher.apply(new)
        self._context.open_requests.cut_off_where(
            lambda grant: (
                bool(grant.key_digest) and not is_valid(new, grant.key_digest)
            ),
            RequestRefusedError(
                Refusal.key_withdrawn_midway, 'the key was withdrawn'
            ),
        )
