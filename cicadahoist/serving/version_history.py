"""Keeps the recent software versions of services in the store."""

from collections.abc import Callable

import msgspec

from cicadahoist.errors import VersionConflictError
from cicadahoist.log import get_logger
from cicadahoist.objects import ObjectStoreClient, StoredObject
from cicadahoist.policy.service_versions import STREAM_LIFETIME_MS
from cicadahoist.serving.stream_exchange import StreamExchange

logger = get_logger(__name__)

HISTORY_KIND = 'cicadahoist-versions'
HISTORY_NAME = 'recent'


class VersionHistory(msgspec.Struct, frozen=True):
    """
    Stored history.

    :param versions_by_service: versions that may have begun an open stream
    """

    versions_by_service: dict[str, list[str]]


class VersionHistoryJob:
    """
    Stores each change of the recent versions, for instances that start.

    :param objects: the store
    :param streams: has seen which versions were listed
    """

    __slots__ = ('_objects', '_streams', '_written', '_written_ms')

    def __init__(
        self, objects: ObjectStoreClient, streams: StreamExchange
    ) -> None:
        self._objects = objects
        self._streams = streams
        self._written: VersionHistory | None = None
        self._written_ms = 0

    def begin_term(self) -> None:
        """Write the history again: another holder may have changed it."""
        self._written = None

    async def run(
        self, true_ms: int, may_act: Callable[[], bool], epoch: int
    ) -> None:
        """Write the history if it has changed, and from time to time."""
        recent = self._streams.list_recent_versions()
        if not recent or not may_act():
            return
        history = VersionHistory(recent)
        # A store that came back from an older copy has lost it.
        is_old = true_ms - self._written_ms >= STREAM_LIFETIME_MS
        if history != self._written or is_old:
            await self._write(history)
            self._written = history
            self._written_ms = true_ms

    async def _write(self, history: VersionHistory) -> None:
        spec = msgspec.to_builtins(history)
        try:
            await self._objects.replace(HISTORY_KIND, HISTORY_NAME, spec)
        except VersionConflictError:
            await self._objects.create(HISTORY_KIND, HISTORY_NAME, spec)


def apply_history(streams: StreamExchange, found: list[StoredObject]) -> None:
    """
    Apply the stored history to what an instance has seen since its start.

    Without one, no instance has served before.
    """
    if not found:
        streams.apply_history({})
    for stored in found:
        try:
            history = msgspec.convert(stored.spec, VersionHistory)
        except msgspec.ValidationError as error:
            logger.bind(name=stored.name).warning(
                'invalid history of versions ignored: {0}', error
            )
            continue
        streams.apply_history(history.versions_by_service)
