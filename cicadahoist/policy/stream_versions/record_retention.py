"""Decides when versions leave the record, as one holder of the duties sees."""

from collections.abc import Mapping
from collections.abc import Set as AbstractSet

import msgspec

from cicadahoist.policy.stream_versions.version_record import (
    RecordCopy,
    VersionRecord,
)

# A version is marked for this time before it is removed, longer than the age of
# any list of targets: an instance that lists the version again may have read
# the record just before the mark, and the holder lists it again by then.
SETTLE_MS = 8000

Key = tuple[str, str]


class ListedTimes(msgspec.Struct, frozen=True):
    """
    Listed versions, as one instance sees them.

    :param versions_by_service: versions of the listed targets
    :param left_ms_by_key: when other versions were last listed
    """

    versions_by_service: Mapping[str, AbstractSet[str]]
    left_ms_by_key: Mapping[Key, int] = {}


class RecordRetention:
    """
    Observes a record during one term.

    Times of earlier terms do not count: another holder may not have listed what
    this one lists.
    """

    __slots__ = ('_era_since', '_leaving_since_ms', '_unlisted_since_ms')

    def __init__(self) -> None:
        # When each version was first seen as recorded and not listed.
        self._unlisted_since_ms: dict[Key, int] = {}
        # When each version was first seen as leaving.
        self._leaving_since_ms: dict[Key, int] = {}
        # Era of the store, and when it was first seen.
        self._era_since: tuple[int, int] | None = None

    def restart(self) -> None:
        """Forget what was observed, as something may have been missed."""
        self._unlisted_since_ms.clear()
        self._leaving_since_ms.clear()
        self._era_since = None

    def plan(
        self,
        copy: RecordCopy,
        listed: ListedTimes,
        now_ms: int,
        lifetime_ms: int,
    ) -> VersionRecord | None:
        """
        Return the record that is to replace one, none for no change.

        :param copy: the record as this instance knows it
        :param listed: what is listed, and what was
        :param lifetime_ms: time after which no stream is left
        """
        self._observe(copy, listed, now_ms)
        if not copy.is_of_era:
            # Instances write it again first.
            return None
        record = copy.record
        unlisted = _select_due(self._unlisted_since_ms, now_ms, lifetime_ms)
        settled = _select_due(self._leaving_since_ms, now_ms, SETTLE_MS)
        planned = record.mark_leaving(
            unlisted - set(self._leaving_since_ms)
        ).remove(unlisted & settled)
        era_since_ms = self._era_since[1] if self._era_since else now_ms
        if now_ms - era_since_ms >= lifetime_ms:
            planned = msgspec.structs.replace(planned, is_complete=True)
        return None if planned == record else planned

    def _observe(
        self,
        copy: RecordCopy,
        listed: ListedTimes,
        now_ms: int,
    ) -> None:
        if self._era_since is None or self._era_since[0] != copy.era:
            self.restart()
            self._era_since = (copy.era, now_ms)
        record = copy.record
        unlisted = {
            (service, version)
            for service, version in record.list_keys()
            if version not in listed.versions_by_service.get(service, ())
        }
        leaving = {
            (service, version)
            for service, version in record.list_keys()
            if version in record.leaving_by_service.get(service, ())
        }
        _follow(self._unlisted_since_ms, unlisted, now_ms)
        for key in unlisted:
            # It may have come and left between two observations.
            left_ms = listed.left_ms_by_key.get(key, 0)
            since_ms = self._unlisted_since_ms[key]
            self._unlisted_since_ms[key] = max(since_ms, left_ms)
        _follow(self._leaving_since_ms, leaving, now_ms)


def _follow(
    since_ms_by_key: dict[Key, int], present: set[Key], now_ms: int
) -> None:
    for key in set(since_ms_by_key) - present:
        since_ms_by_key.pop(key)
    for new_key in present:
        since_ms_by_key.setdefault(new_key, now_ms)


def _select_due(
    since_ms_by_key: dict[Key, int], now_ms: int, bound_ms: int
) -> set[Key]:
    return {
        key
        for key, since_ms in since_ms_by_key.items()
        if now_ms - since_ms >= bound_ms
    }
