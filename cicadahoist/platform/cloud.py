"""Sends target orders and usage reports to the platform."""

import msgspec

from cicadahoist.errors import NotSentError, TargetError
from cicadahoist.outside.bodies import MAX_REPLY_BYTES
from cicadahoist.outside.http import (
    HTTP_BUSY,
    HTTP_CONFLICT,
    HTTP_OK,
    HTTP_UNAVAILABLE,
    HttpClient,
)
from cicadahoist.platform.names import (
    DUTY_HOLDER,
    FENCE,
    SCALE_PATH,
    USAGE_PATH,
)
from cicadahoist.platform.settings_file import Address
from cicadahoist.serving.duty_calls import OrderReply, TargetOrder


class _WireUsage(msgspec.Struct, kw_only=True):
    # Number of the billing window, counted from the start of 1970.
    window: int
    counts: dict[str, int]


class _WireScale(msgspec.Struct, kw_only=True, omit_defaults=True):
    service: str
    zone: str
    # Total number of targets of this kind, not an increment.
    desired: int
    spot: bool = False


class PlatformCalls:
    """
    Calls that only the holder of a duty may make.

    :param base: base URL of the platform's interface
    :param http: client with its own connection pool
    :param holder: name of this instance, sent as the duty holder
    :param timeout_ms: time limit for an answer
    """

    __slots__ = ('_base', '_holder', '_http', '_timeout_ms')

    def __init__(
        self, base: str, http: HttpClient, holder: str, timeout_ms: int
    ) -> None:
        self._base = base
        self._http = http
        self._holder = holder
        self._timeout_ms = timeout_ms

    @classmethod
    def from_address(
        cls, address: Address, http: HttpClient, holder: str, timeout_ms: int
    ) -> 'PlatformCalls':
        """Return a client for the platform at an address."""
        base = f'http://{address.host}:{address.port}'
        return cls(base, http, holder, timeout_ms)

    async def report_usage(
        self, window: int, counts: dict[str, int], epoch: int
    ) -> OrderReply:
        """Report the request count of each workspace in one billing window."""
        return await self._call(
            USAGE_PATH, _WireUsage(window=window, counts=counts), epoch
        )

    async def order_targets(self, order: TargetOrder, epoch: int) -> OrderReply:
        """Order a total number of targets in one availability zone."""
        wire = _WireScale(
            service=order.service,
            zone=order.zone,
            desired=order.count,
            spot=order.is_cheap,
        )
        return await self._call(SCALE_PATH, wire, epoch)

    async def _call(
        self, path: str, body: msgspec.Struct, epoch: int
    ) -> OrderReply:
        try:
            response = await self._http.call(
                'POST',
                f'{self._base}{path}',
                headers={
                    'Content-Type': 'application/json',
                    DUTY_HOLDER: self._holder,
                    FENCE: str(epoch),
                },
                body=msgspec.json.encode(body),
                timeout_ms=self._timeout_ms,
                max_body_bytes=MAX_REPLY_BYTES,
            )
            await response.read_body(self._timeout_ms)
        except NotSentError:
            return OrderReply.busy
        except TargetError:
            return OrderReply.unknown
        if response.status == HTTP_OK:
            return OrderReply.accepted
        if response.status == HTTP_CONFLICT:
            return OrderReply.none_available
        if response.status in {HTTP_BUSY, HTTP_UNAVAILABLE}:
            return OrderReply.busy
        return OrderReply.refused
