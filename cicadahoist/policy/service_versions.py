"""Tracks which software versions of each service are listed."""

from collections.abc import Iterable

# Callers take a stream up within their deadline, so that after this time no
# stream is left that an unlisted version began.
STREAM_LIFETIME_MS = 30_000


class VersionHistory:
    """
    Versions of one service that are or were listed.

    :param since_ms: time of the first observation
    :param earlier: versions that may have begun a stream before, none if they
        are not known
    """

    __slots__ = ('_left_ms_by_version', '_since_ms', 'earlier', 'listed')

    def __init__(self, since_ms: int, earlier: frozenset[str] | None) -> None:
        self._since_ms = since_ms
        self._left_ms_by_version: dict[str, int] = {}
        self.listed: frozenset[str] = frozenset()
        self.earlier = earlier

    def observe(self, listed: frozenset[str], now_ms: int) -> None:
        """Record the versions that are listed from now on."""
        for version in self.listed - listed:
            self._left_ms_by_version[version] = now_ms
        for version in listed:
            self._left_ms_by_version.pop(version, None)
        self.listed = listed

    def list_recent(self, now_ms: int) -> frozenset[str]:
        """Return the versions that may have begun an open stream."""
        recent = {
            version
            for version, left_ms in self._left_ms_by_version.items()
            if now_ms - left_ms < STREAM_LIFETIME_MS
        }
        if self.earlier is None or self._is_observed(now_ms):
            return self.listed | recent
        return self.listed | recent | self.earlier

    def is_complete(self, now_ms: int) -> bool:
        """Return whether all versions of open streams are known."""
        return self.earlier is not None or self._is_observed(now_ms)

    def _is_observed(self, now_ms: int) -> bool:
        return now_ms - self._since_ms >= STREAM_LIFETIME_MS


class ServiceVersions:
    """Versions of all services, as one instance has seen them."""

    __slots__ = ('_earlier_by_service', '_history_by_service')

    def __init__(self) -> None:
        self._earlier_by_service: dict[str, frozenset[str]] | None = None
        self._history_by_service: dict[str, VersionHistory] = {}

    def observe(
        self, listed: Iterable[tuple[str, str]], now_ms: int
    ) -> list[str]:
        """
        Record the services and versions of all listed targets.

        :param listed: service and version of each target
        :return: services that have several versions since this observation
        """
        versions_by_service: dict[str, set[str]] = {
            service: set() for service in self._history_by_service
        }
        for service, version in listed:
            versions_by_service.setdefault(service, set()).add(version)
        newly_mixed = []
        for service, versions in versions_by_service.items():
            was_mixed = self.is_mixed(service, now_ms)
            history = self._history_by_service.setdefault(
                service, VersionHistory(now_ms, self._get_earlier(service))
            )
            history.observe(frozenset(versions), now_ms)
            if not was_mixed and self.is_mixed(service, now_ms):
                newly_mixed.append(service)
        return newly_mixed

    def is_mixed(self, service: str, now_ms: int) -> bool:
        """Return whether open streams of a service may differ in version."""
        history = self._history_by_service.get(service)
        return history is not None and len(history.list_recent(now_ms)) > 1

    def find_only(self, service: str, now_ms: int) -> str | None:
        """Return the version of all open streams, none if they may differ."""
        history = self._history_by_service.get(service)
        if history is None or not history.is_complete(now_ms):
            return None
        return _get_single(history.list_recent(now_ms))

    def list_recent(self, now_ms: int) -> dict[str, list[str]]:
        """Return the versions of open streams by service, where known."""
        return {
            service: sorted(history.list_recent(now_ms))
            for service, history in sorted(self._history_by_service.items())
            if history.is_complete(now_ms)
        }

    def apply_earlier(self, versions_by_service: dict[str, list[str]]) -> None:
        """
        Record the versions that were seen before this instance started.

        A service that is not named had no targets.
        """
        self._earlier_by_service = {
            service: frozenset(versions)
            for service, versions in versions_by_service.items()
        }
        for service, history in self._history_by_service.items():
            history.earlier = self._get_earlier(service)

    def _get_earlier(self, service: str) -> frozenset[str] | None:
        if self._earlier_by_service is None:
            return None
        return self._earlier_by_service.get(service, frozenset())


def _get_single(versions: frozenset[str]) -> str | None:
    return next(iter(versions)) if len(versions) == 1 else None
