"""Record of the calls that a stand-in received."""

from typing import Any

import msgspec

MAX_CALLS = 1000


class SeenCall(msgspec.Struct, frozen=True):
    """
    A received call.

    :param headers: last value of each header by name in lower case
    """

    method: str
    path: str
    headers: dict[str, str]


class SeenCalls:
    """The latest ``MAX_CALLS`` calls that were received."""

    __slots__ = ('calls',)

    def __init__(self) -> None:
        self.calls: list[SeenCall] = []

    def add(self, request: Any) -> None:
        """Record a call; the oldest one above the limit is dropped."""
        headers = {
            name.decode().lower(): values[-1].decode(errors='replace')
            for name, values in request.requestHeaders.getAllRawHeaders()
        }
        self.calls.append(
            SeenCall(request.method.decode(), request.path.decode(), headers)
        )
        del self.calls[:-MAX_CALLS]  # noqa: WPS420
