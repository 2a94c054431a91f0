"""Fetches weights from the weight store within its rate limit."""

from twisted.internet.defer import Deferred

from cicadahoist.clock import Clock
from cicadahoist.errors import BusyError, TargetError
from cicadahoist.log import get_logger
from cicadahoist.outside.engine_messages import EngineOrder
from cicadahoist.outside.platform import WeightStore

DEFAULT_RETRY_AFTER_MS = 1000

logger = get_logger(__name__)


class WeightLoader:
    """
    Fetches weights for an engine and retries until it succeeds.

    :param store: client of the weight store
    :param clock: clock for the delay between attempts
    """

    __slots__ = ('_clock', '_store')

    def __init__(self, store: WeightStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    def fetch(self, order: EngineOrder) -> 'Deferred[None]':
        """Fetch the weights that an order needs."""
        model, _, version = order.argument.partition('=')
        return Deferred.fromCoroutine(
            self._fetch_until_done(model, version or '1')
        )

    async def _fetch_until_done(self, model: str, version: str) -> None:
        wait_ms = await self._try_fetch(model, version)
        while wait_ms:
            await self._clock.sleep(wait_ms)
            wait_ms = await self._try_fetch(model, version)

    async def _try_fetch(self, model: str, version: str) -> int:
        """Return the delay in ms before the next attempt, 0 on success."""
        try:
            await self._store.fetch(model, version)
        except BusyError as busy:
            return busy.retry_after_ms or DEFAULT_RETRY_AFTER_MS
        except TargetError as error:
            logger.warning(
                'cannot fetch weights of {0}, retrying: {1}', model, error
            )
            return DEFAULT_RETRY_AFTER_MS
        return 0
