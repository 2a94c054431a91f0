"""Updates the target directory from the entries in the store."""

from collections.abc import Callable
from typing import Any

from cicadahoist.clock import Clock
from cicadahoist.listings import Listing, TargetDirectory
from cicadahoist.log import get_logger
from cicadahoist.objects import Change, StoredObject

logger = get_logger(__name__)

# Entries that expired in an outage of the store are back within this time after
# it.
REREGISTRATION_MS = 2200

ListingDecoder = Callable[[str, Any], Listing | None]


class TargetSource:
    """
    Applies the platform's target entries to the directory.

    In an outage of the store, entries are not renewed and expire. A target that
    is missing after an outage stays in the directory until its entry must be
    back.

    :param directory: targets listed at this moment
    :param decode: decodes an entry; returns none if it names no usable target
    :param outage_ended_ms: returns when the last outage of the store ended,
        none if there was none
    """

    __slots__ = (
        '_clock',
        '_decode',
        '_directory',
        '_listed_names',
        '_outage_ended_ms',
    )

    def __init__(
        self,
        directory: TargetDirectory,
        decode: ListingDecoder,
        clock: Clock,
        outage_ended_ms: Callable[[], int | None],
    ) -> None:
        self._directory = directory
        self._decode = decode
        self._clock = clock
        self._outage_ended_ms = outage_ended_ms
        self._listed_names: set[str] = set()

    def apply_list(self, found: list[StoredObject]) -> None:
        """Replace the directory by a whole list."""
        listings = {}
        for stored in found:
            listing = self._decode_entry(stored)
            if listing is not None:
                listings[listing.name] = listing
        self._listed_names = set(listings)
        missing = [
            listing
            for listing in self._directory.list_all()
            if listing.name not in listings
        ]
        for listing in missing:
            if self._retain_after_outage(listing):
                listings[listing.name] = listing
        self._directory.replace(listings.values())
        logger.bind(
            count=len(listings), missing=[entry.name for entry in missing]
        ).info('targets listed')

    def apply_change(self, change: Change) -> None:
        """Apply one change of an entry."""
        name = change.stored.name
        listing = (
            None if change.is_removed else self._decode_entry(change.stored)
        )
        if listing is None:
            self._listed_names.discard(name)
            known = self._directory.get(name)
            if known is not None and not self._retain_after_outage(known):
                self._drop(name)
            return
        self._listed_names.add(name)
        before = self._directory.get(name)
        self._directory.put(listing)
        if before is None or before.is_leaving != listing.is_leaving:
            logger.bind(
                target=name,
                is_leaving=listing.is_leaving,
                version=listing.version,
                revision=change.stored.revision,
            ).info('target listed')

    def _decode_entry(self, stored: StoredObject) -> Listing | None:
        listing = self._decode(stored.name, stored.spec)
        if listing is None:
            logger.bind(target=stored.name, revision=stored.revision).info(
                'entry names no usable target'
            )
        return listing

    def _retain_after_outage(self, listing: Listing) -> bool:
        """
        Return whether a missing target stays for a while after an outage.

        Schedules its removal for the end of that time.
        """
        ended_ms = self._outage_ended_ms()
        if ended_ms is None or listing.is_leaving:
            return False
        remaining_ms = ended_ms + REREGISTRATION_MS - self._clock.now_ms()
        if remaining_ms <= 0:
            return False
        self._clock.call_later(remaining_ms, self._drop_unlisted, listing.name)
        return True

    def _drop_unlisted(self, name: str) -> None:
        if name not in self._listed_names:
            self._drop(name)

    def _drop(self, name: str) -> None:
        logger.bind(target=name).info('target gone')
        self._directory.remove(name)
