"""Recognition of a head that was made of two."""

import re
from collections.abc import Iterable

from cicadahoist.requests import HeaderList

# RFC 9112, section 4.
STATUS_LINE = re.compile(rb'HTTP/[0-9]\.[0-9] [0-9]{3}')


def is_joined_head(headers: HeaderList, reason: bytes = b'') -> bool:
    """
    Return whether a head holds the beginning of another one.

    Where a target breaks off inside a head and its next answer follows on the
    connection, the status line of that answer continues the reason or a header.
    A break at another place leaves a line that is no header.

    :param headers: headers or trailers
    :param reason: reason phrase of the status line
    """
    return _holds_status_line((reason, *(text for _, text in headers)))


def _holds_status_line(texts: Iterable[bytes]) -> bool:
    return any(STATUS_LINE.search(text) for text in texts)
