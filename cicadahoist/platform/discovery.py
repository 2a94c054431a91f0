"""Decodes the entries under which targets register in the platform's store."""

from typing import Any

import msgspec

from cicadahoist.listings import Listing

LISTING_KIND = 'servers'
_STATES = frozenset(('ready', 'draining'))
_STAGES = frozenset(('', 'prefill', 'decode'))


class _WireServer(msgspec.Struct, rename='kebab', kw_only=True):
    service: str
    address: str
    zone: str = ''
    slots: int = 1
    state: str
    stage: str = ''
    # Remaining time during which the target is slow.
    cold_left_ms: float = 0
    # Bought at the low price; may be reclaimed.
    spot: bool = False
    born: int = 0


def decode_listing(name: str, entry: Any) -> Listing | None:
    """
    Decode an entry.

    :param name: id of the target
    :param entry: what the target wrote
    :return: none for an entry that names no target to use
    """
    try:
        wire = msgspec.convert(entry, _WireServer)
        listing = Listing(
            name=name,
            service=wire.service,
            address=wire.address,
            zone=wire.zone,
            is_leaving=wire.state == 'draining',
            slots=wire.slots,
            role=wire.stage,
            is_cheap=wire.spot,
            slow_for_ms=round(wire.cold_left_ms),
            born_ms=wire.born,
        )
        is_known = wire.state in _STATES and wire.stage in _STAGES
        return listing if is_known and listing.endpoint[1] else None
    except (msgspec.ValidationError, ValueError):
        # Other writers leave odd entries here; the caller logs the name.
        return None
