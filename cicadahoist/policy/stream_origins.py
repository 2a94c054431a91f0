"""Remembers which software version began each recent stream."""

from collections import OrderedDict

import msgspec

from cicadahoist.policy.stream_versions.stream_terms import MIN_LIFETIME_MS

MAX_ORIGINS = 50_000


class Origin(msgspec.Struct, frozen=True, array_like=True):
    """
    The beginning of a stream.

    :param attempt_id: attempt of the caller that brought the first event
    :param service: service of the target that sent it
    :param version: software version of that target
    """

    attempt_id: str
    service: str
    version: str


class _Entry(msgspec.Struct, frozen=True):
    origin: Origin
    recorded_ms: int
    is_own: bool


class StreamOrigins:
    """Origins of recent streams, the oldest first."""

    __slots__ = ('_entry_by_attempt', 'lifetime_ms')

    def __init__(self) -> None:
        # Time after which no stream is left that began before.
        self.lifetime_ms = MIN_LIFETIME_MS
        self._entry_by_attempt: OrderedDict[str, _Entry] = OrderedDict()

    def record(self, origin: Origin, now_ms: int, *, is_own: bool) -> None:
        """
        Remember an origin; the first one of an attempt stands.

        It is kept for as long as a stream that was taken up again may last.

        :param is_own: whether this instance has passed the first event on
        """
        self._drop_expired(now_ms)
        known = self._entry_by_attempt.pop(origin.attempt_id, None)
        if known is not None:
            origin = known.origin
            is_own = is_own or known.is_own
        entry = _Entry(origin, now_ms, is_own)
        self._entry_by_attempt[origin.attempt_id] = entry

    def find(self, attempt_id: str) -> Origin | None:
        """Return the origin of a stream, or none if it is not known."""
        entry = self._entry_by_attempt.get(attempt_id)
        return entry.origin if entry else None

    def is_of_other(self, attempt_id: str, service: str) -> bool:
        """Return whether a stream is known to be of another service."""
        origin = self.find(attempt_id)
        return origin is not None and origin.service != service

    def list_own(self, service: str) -> list[Origin]:
        """Return the streams of a service that began at this instance."""
        return [
            entry.origin
            for entry in self._entry_by_attempt.values()
            if entry.is_own and entry.origin.service == service
        ]

    def _drop_expired(self, now_ms: int) -> None:
        entries = self._entry_by_attempt
        while entries:
            oldest = next(iter(entries.values()))
            is_recent = now_ms - oldest.recorded_ms < self.lifetime_ms
            if is_recent and len(entries) < MAX_ORIGINS:
                return
            entries.popitem(last=False)
