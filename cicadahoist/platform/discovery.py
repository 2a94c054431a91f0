"""Decodes the registrations of targets in the platform's store."""

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
    # Of the software; the models state the versions of their weights. Targets
    # that do not state it may differ in it.
    version: str
    slots: int = 1
    state: str
    stage: str = ''
    # Remaining time during which the target is slow after its start.
    cold_left_ms: float = 0
    # Bought at the low price; the platform may reclaim it.
    spot: bool = False
    born: int = 0


def decode_listing(name: str, entry: Any) -> Listing | None:
    """
    Decode a registration.

    :param name: id of the target
    :param entry: decoded JSON content that the target wrote
    :return: the target, or none if the entry is malformed or in an unknown
        state
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
            remaining_warmup_ms=round(wire.cold_left_ms),
            started_ms=wire.born,
            version=wire.version,
        )
        is_known = wire.state in _STATES and wire.stage in _STAGES
        return listing if is_known and listing.endpoint[1] else None
    except (msgspec.ValidationError, ValueError):
        # Other writers may leave malformed entries; the caller logs the name.
        return None
