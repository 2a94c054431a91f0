"""What a stand-in saw of its callers."""

from typing import Any

import msgspec

MAX_CALLS = 1000


class SeenCall(msgspec.Struct, frozen=True):
    """One call with its headers, names in lower case."""

    method: str
    path: str
    headers: dict[str, str]


class SeenCalls:
    """The latest calls."""

    __slots__ = ('calls',)

    def __init__(self) -> None:
        self.calls: list[SeenCall] = []

    def add(self, request: Any) -> None:
        """Keep a call, dropping the oldest above the limit."""
        headers = {
            name.decode().lower(): values[-1].decode(errors='replace')
            for name, values in request.requestHeaders.getAllRawHeaders()
        }
        self.calls.append(
            SeenCall(request.method.decode(), request.path.decode(), headers)
        )
        del self.calls[:-MAX_CALLS]  # noqa: WPS420
