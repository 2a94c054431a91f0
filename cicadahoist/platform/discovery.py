"""Decodes the registrations of targets in the platform's store."""

import re
from typing import Annotated, Any

import msgspec

from cicadahoist.listings import Listing

LISTING_KIND = 'servers'
_STATES = frozenset(('ready', 'draining'))
_STAGES = frozenset(('', 'prefill', 'decode'))


# Bounds of what targets say of themselves; other writers may exceed them.
MAX_TEXT_LENGTH = 256
MAX_SLOTS = 1_000_000
MAX_COLD_MS = 86_400_000
# Whole numbers up to this one are exact in every JSON decoder.
MAX_EXACT_INT = 9_007_199_254_740_992
# Ids are sent in headers.
_NAME = re.compile(r'[!-~]{1,256}', re.ASCII)
_ADDRESS = re.compile(r'(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})', re.ASCII)
_MAX_OCTET = 255
_MAX_PORT = 65_535

_Text = Annotated[str, msgspec.Meta(max_length=MAX_TEXT_LENGTH)]


class _WireServer(msgspec.Struct, rename='kebab', kw_only=True):
    service: _Text
    address: _Text
    zone: _Text = ''
    # Of the software; the models state the versions of their weights. Targets
    # that do not state it may differ in it.
    version: _Text
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)] = 1
    state: _Text
    stage: _Text = ''
    # Remaining time during which the target is slow after its start.
    cold_left_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_MS)] = 0
    # Bought at the low price; the platform may reclaim it.
    spot: bool = False
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_EXACT_INT)] = 0


def decode_listing(name: str, entry: Any) -> Listing | None:
    """
    Decode a registration.

    :param name: id of the target
    :param entry: decoded JSON content that the target wrote
    :return: the target, or none if the entry is malformed, out of bounds or in
        an unknown state
    """
    try:
        wire = msgspec.convert(entry, _WireServer)
    except (msgspec.ValidationError, ValueError, RecursionError):
        # Other writers may leave malformed entries; the caller logs the name.
        return None
    is_known = wire.state in _STATES and wire.stage in _STAGES
    is_reachable = bool(_NAME.fullmatch(name)) and _is_endpoint(wire.address)
    if not is_known or not is_reachable:
        return None
    return Listing(
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


def _is_endpoint(address: str) -> bool:
    """Return whether a connection to an address can be attempted."""
    found = _ADDRESS.fullmatch(address)
    if found is None:
        return False
    octets = found[1].split('.')
    is_host = all(int(octet) <= _MAX_OCTET for octet in octets)
    return is_host and 0 < int(found[2]) <= _MAX_PORT
