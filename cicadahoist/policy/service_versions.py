"""Tracks which software versions of each service streams may have begun at."""

from collections.abc import Iterable

from cicadahoist.policy.stream_versions.record_retention import ListedTimes
from cicadahoist.policy.stream_versions.stream_terms import StreamTerms
from cicadahoist.policy.stream_versions.version_record import RecordCopy

# A version that is listed again after this share of a stream's lifetime may
# have left the record since an instance read it.
DOUBT_SHARE = 0.5
NEVER_MS = -1


class ListedVersions:
    """Versions of one service that are or were listed."""

    __slots__ = ('left_ms_by_version', 'listed')

    def __init__(self) -> None:
        # When each version was last listed that is not listed now.
        self.left_ms_by_version: dict[str, int] = {}
        self.listed: frozenset[str] = frozenset()

    def observe(self, listed: frozenset[str], now_ms: int) -> None:
        """Record the versions that are listed from now on."""
        for version in self.listed - listed:
            self.left_ms_by_version[version] = now_ms
        for version in listed:
            self.left_ms_by_version.pop(version, None)
        self.listed = listed

    def list_unseen(self, listed: set[str], since_ms: float) -> set[str]:
        """Return newly listed versions that were not listed since a time."""
        return {
            version
            for version in listed - self.listed
            if self.left_ms_by_version.get(version, 0) <= since_ms
        }

    def list_recent(self, now_ms: int, lifetime_ms: int) -> frozenset[str]:
        """Return the versions that may have begun an open stream."""
        return self.listed | {
            version
            for version, left_ms in self.left_ms_by_version.items()
            if now_ms - left_ms < lifetime_ms
        }


class ServiceVersions:
    """Versions of all services, as one instance knows them."""

    __slots__ = (
        '_carried_by_service',
        '_copied_ms',
        '_era',
        '_listed_by_service',
        'copy',
        'doubtful',
        'is_recording',
        'terms',
    )

    def __init__(self) -> None:
        # The record as it was last read, written or told; none before that.
        self.copy: RecordCopy | None = None
        # Whether streams begin at recorded versions only.
        self.is_recording = False
        self.terms = StreamTerms()
        self._copied_ms = 0
        self._era = 0
        # Versions of an earlier era of the store, which may have lost them.
        self._carried_by_service: dict[str, frozenset[str]] = {}
        # Versions that may have left the record since it was read.
        self.doubtful: set[tuple[str, str]] = set()
        self._listed_by_service: dict[str, ListedVersions] = {}

    def observe(self, listed: Iterable[tuple[str, str]], now_ms: int) -> None:
        """
        Record the services and versions of all listed targets.

        :param listed: service and version of each target
        """
        versions_by_service: dict[str, set[str]] = {
            service: set() for service in self._listed_by_service
        }
        for service, version in listed:
            versions_by_service.setdefault(service, set()).add(version)
        for known_service, versions in versions_by_service.items():
            history = self._listed_by_service.setdefault(
                known_service, ListedVersions()
            )
            unseen = history.list_unseen(versions, self._get_doubt_ms(now_ms))
            self.doubtful.update((known_service, new) for new in unseen)
            history.observe(frozenset(versions), now_ms)

    def apply_copy(
        self, copy: RecordCopy, now_ms: int, *, may_lag: bool = False
    ) -> bool:
        """
        Apply the record as it was read or written by this or another instance.

        :param may_lag: whether it may be seconds old
        :return: whether it is not older than what is known
        """
        if copy.era < self._era or not copy.is_newer_than(self.copy):
            return False
        self.apply_era(copy.era)
        self.copy = copy
        if not may_lag:
            self._copied_ms = now_ms
            self.doubtful.clear()
        if copy.is_of_era:
            self._carried_by_service = {
                service: missing
                for service, versions in self._carried_by_service.items()
                if (missing := versions - copy.record.get_versions(service))
            }
        return True

    def apply_era(self, era: int) -> bool:
        """
        Record the era of the store.

        In a new one the store may have lost versions that were recorded.

        :return: whether it is a new one
        """
        if era <= self._era:
            return False
        self._era = era
        if self.copy is not None:
            for service in self.copy.record.versions_by_service:
                known = self._carried_by_service.get(service, frozenset())
                self._carried_by_service[service] = (
                    known | self.copy.record.get_versions(service)
                )
        return True

    def is_complete(self) -> bool:
        """Return whether the versions of all open streams are known."""
        copy = self.copy
        return copy is not None and copy.era == self._era and copy.is_complete

    def is_mixed(self, service: str, now_ms: int) -> bool:
        """Return whether open streams of a service may differ in version."""
        return len(self._list_versions(service, now_ms)) > 1

    def list_uncertain(self, now_ms: int) -> set[str]:
        """Return the services whose streams' versions may differ."""
        return {
            service
            for service in self._listed_by_service
            if self.is_uncertain(service, now_ms)
        }

    def is_uncertain(self, service: str, now_ms: int) -> bool:
        """Return whether streams of a service may differ, or it is unknown."""
        return not self.is_complete() or self.is_mixed(service, now_ms)

    def find_only(self, service: str, now_ms: int) -> str | None:
        """Return the version of all open streams, none if they may differ."""
        versions = self._list_versions(service, now_ms)
        if self.copy is None or not self.is_complete() or len(versions) != 1:
            return None
        only = next(iter(versions))
        is_recorded = only in self.copy.list_versions(service)
        if self.is_recording and service in self.terms.resumable_services:
            # No stream has begun at a version that is not recorded.
            return only if is_recorded else None
        return only

    def is_recorded(self, service: str, version: str) -> bool:
        """Return whether the store holds a version as used in this era."""
        if not self.is_recording:
            return True
        copy = self.copy
        if copy is None or copy.era != self._era or not copy.is_of_era:
            return False
        is_usable = version in copy.record.get_usable(service)
        return is_usable and (service, version) not in self.doubtful

    def list_barred(self, service: str) -> frozenset[str]:
        """Return the listed versions at which no stream may begin yet."""
        history = self._listed_by_service.get(service)
        if history is None or not self.is_recording:
            return frozenset()
        return frozenset(
            version
            for version in history.listed
            if not self.is_recorded(service, version)
        )

    def list_times(self) -> ListedTimes:
        """Return which versions are listed, and when others left."""
        return ListedTimes(
            {
                service: history.listed
                for service, history in self._listed_by_service.items()
            },
            {
                (service, version): left_ms
                for service, history in self._listed_by_service.items()
                for version, left_ms in history.left_ms_by_version.items()
            },
        )

    def list_missing(self) -> dict[str, frozenset[str]]:
        """Return the versions that are to be recorded, by service."""
        if not self.is_recording:
            return {}
        missing = {
            service: frozenset(
                version
                for version in versions
                if not self.is_recorded(service, version)
            )
            for service, versions in self._list_wanted().items()
        }
        return {
            service: versions
            for service, versions in missing.items()
            if versions
        }

    def _list_wanted(self) -> dict[str, set[str]]:
        """Return the versions that the record is to have."""
        wanted: dict[str, set[str]] = {}
        for service, carried in self._carried_by_service.items():
            wanted.setdefault(service, set()).update(carried)
        if self.copy is not None:
            for old_service, earlier in self.copy.earlier_by_service.items():
                wanted.setdefault(old_service, set()).update(earlier)
        for used in self.terms.resumable_services:
            history = self._listed_by_service.get(used)
            if history is not None:
                wanted.setdefault(used, set()).update(history.listed)
        return wanted

    def _list_versions(self, service: str, now_ms: int) -> frozenset[str]:
        """Return all versions at which open streams may have begun."""
        versions = self._carried_by_service.get(service, frozenset())
        if self.copy is not None:
            versions |= self.copy.list_versions(service)
        history = self._listed_by_service.get(service)
        if history is not None:
            versions |= history.list_recent(now_ms, self.terms.lifetime_ms)
        return versions

    def _get_doubt_ms(self, now_ms: int) -> float:
        """
        Return the time since which a listed version must have been seen.

        Others may have left the record, which was read longer ago than that.
        """
        doubt_ms = now_ms - DOUBT_SHARE * self.terms.lifetime_ms
        if self.copy is None or self._copied_ms > doubt_ms:
            return NEVER_MS
        return doubt_ms
