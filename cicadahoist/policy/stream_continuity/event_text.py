"""Reads the lines of one event of a stream."""

import re

# Longer numbers are no numbers of events.
_MAX_DIGITS = 18
_EVENT_ID = re.compile(rb'^id:[ ]?(\d{1,18})\r?$', re.MULTILINE)
# An event may state a header of the answer that changes with it.
_HEADER_LINE = re.compile(rb'x-[a-z0-9-]+:[ ]?\d+')
_COMMENT = b''
STANDARD_FIELDS = frozenset((_COMMENT, b'id', b'event', b'data', b'retry'))


def parse_number(text: str) -> int | None:
    """Return the number of an event from a header, none if it is no number."""
    is_number = text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS
    return int(text) if is_number else None


def find_number(event: bytes) -> int | None:
    """Return the number of an event, none if it has none."""
    found = _EVENT_ID.search(event)
    return int(found[1]) if found else None


def list_fields(event: bytes) -> frozenset[bytes]:
    """Return the names of the fields of an event, empty for comments."""
    lines = event.strip(b'\r\n').splitlines()
    if lines and _HEADER_LINE.fullmatch(lines[0]):
        lines = lines[1:]
    return frozenset(line.partition(b':')[0] for line in lines)


def is_comment(event: bytes) -> bool:
    """Return whether an event has no fields."""
    return list_fields(event) <= {_COMMENT}
