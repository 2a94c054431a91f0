"""The record of the software versions at which streams may have begun."""

from collections.abc import Mapping
from collections.abc import Set as AbstractSet

import msgspec

NONE_LEAVING: dict[str, list[str]] = {}


class VersionRecord(msgspec.Struct, frozen=True, kw_only=True):
    """
    Versions that are recorded as used, before a stream begins at one.

    :param versions_by_service: versions at which open streams may have begun
    :param era: era of the store for which the record was written
    :param is_complete: whether no open stream began at another version
    :param leaving_by_service: versions of these that are about to be removed;
        a stream begins at one only after it is recorded again
    """

    versions_by_service: dict[str, list[str]] = {}
    era: int = 0
    is_complete: bool = False
    leaving_by_service: dict[str, list[str]] = NONE_LEAVING

    @classmethod
    def absent(cls, era: int) -> 'VersionRecord':
        """
        Return what a store without a record says.

        No stream has begun, unless the store lost the record by coming back
        from an older copy, which raises its era.
        """
        return cls(era=era, is_complete=era == 0)

    def get_versions(self, service: str) -> frozenset[str]:
        """Return the versions at which streams may have begun."""
        return frozenset(self.versions_by_service.get(service, ()))

    def get_usable(self, service: str) -> frozenset[str]:
        """Return the versions at which streams may begin."""
        leaving = self.leaving_by_service.get(service, ())
        return self.get_versions(service).difference(leaving)

    def list_keys(self) -> list[tuple[str, str]]:
        """Return all services and their versions."""
        return [
            (service, version)
            for service, versions in self.versions_by_service.items()
            for version in versions
        ]

    def add(
        self, missing: Mapping[str, AbstractSet[str]], era: int
    ) -> 'VersionRecord':
        """
        Return a record with further versions.

        :param missing: versions to add, by service
        :param era: era of the store in which the record will be written
        """
        versions = {
            service: self.get_versions(service) | missing.get(service, set())
            for service in (*self.versions_by_service, *missing)
        }
        leaving = {
            service: set(known).difference(missing.get(service, ()))
            for service, known in self.leaving_by_service.items()
        }
        return VersionRecord(
            versions_by_service=_sort_versions(versions),
            era=era,
            is_complete=self.is_complete and self.era == era,
            leaving_by_service=_sort_versions(leaving),
        )

    def remove(self, keys: AbstractSet[tuple[str, str]]) -> 'VersionRecord':
        """Return a record without some versions of services."""
        return msgspec.structs.replace(
            self,
            versions_by_service=_drop_keys(self.versions_by_service, keys),
            leaving_by_service=_drop_keys(self.leaving_by_service, keys),
        )

    def mark_leaving(
        self, keys: AbstractSet[tuple[str, str]]
    ) -> 'VersionRecord':
        """Return a record in which further versions are leaving."""
        leaving: dict[str, set[str]] = {}
        for service, versions in self.leaving_by_service.items():
            leaving.setdefault(service, set()).update(versions)
        for key_service, version in keys:
            leaving.setdefault(key_service, set()).add(version)
        return msgspec.structs.replace(
            self, leaving_by_service=_sort_versions(leaving)
        )


class RecordCopy(msgspec.Struct, frozen=True, array_like=True):
    """
    The record as an instance read or wrote it.

    :param era: era of the store in which that was
    :param revision: revision of the object, 0 if the store has none
    :param record: its content
    :param earlier_by_service: versions in the history that older builds write
    """

    era: int
    revision: int
    record: VersionRecord
    earlier_by_service: dict[str, list[str]] = {}

    @property
    def is_complete(self) -> bool:
        """Whether it has the versions of all open streams."""
        return self.record.is_complete and self.is_of_era

    @property
    def is_of_era(self) -> bool:
        """Whether the record was written since the store came back last."""
        return self.record.era == self.era

    def list_versions(self, service: str) -> frozenset[str]:
        """Return the versions at which open streams may have begun."""
        earlier = self.earlier_by_service.get(service, ())
        return self.record.get_versions(service).union(earlier)

    def is_newer_than(self, other: 'RecordCopy | None') -> bool:
        """Return whether it is at least as new as another copy."""
        if other is None:
            return True
        return (self.era, self.revision) >= (other.era, other.revision)


def _sort_versions(
    versions_by_service: Mapping[str, AbstractSet[str]],
) -> dict[str, list[str]]:
    return {
        service: sorted(versions)
        for service, versions in sorted(versions_by_service.items())
        if versions
    }


def _drop_keys(
    versions_by_service: Mapping[str, list[str]],
    keys: AbstractSet[tuple[str, str]],
) -> dict[str, list[str]]:
    return _sort_versions(
        {
            service: {
                version
                for version in versions
                if (service, version) not in keys
            }
            for service, versions in versions_by_service.items()
        }
    )
