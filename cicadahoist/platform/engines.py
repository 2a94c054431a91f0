"""Management calls to engines: role orders and released KV caches."""

from collections.abc import Callable

import msgspec

from cicadahoist.errors import NotSentError, RefusedError, TargetError
from cicadahoist.listings import Listing
from cicadahoist.outside.bodies import MAX_REPLY_BYTES
from cicadahoist.outside.http import HTTP_OK, HttpClient, TargetResponse
from cicadahoist.platform.names import (
    EXPECTED_TARGET,
    HANDLE_PATH,
    LEAVING,
    ORDER_PATH,
    REPORT_PATH,
)
from cicadahoist.requests import Handle
from cicadahoist.serving.duty_calls import OrderReply

HTTP_ACCEPTED = 202
HTTP_MISDIRECTED = 421


class _WireOrder(msgspec.Struct, rename='kebab', kw_only=True):
    op: str
    stage: str
    holder: str
    fence: int
    # Number of orders that the engine must have accepted before this one.
    expected: int


class _WireReport(msgspec.Struct, rename='kebab', kw_only=True):
    # Number of orders accepted since the engine started.
    seq: int = 0


_decode_report = msgspec.json.Decoder(_WireReport).decode


class EngineCalls:
    """
    Sends management calls to engines.

    :param http: client that opens a connection for each call
    :param holder: name of this instance, sent as the duty holder
    :param timeout_ms: time limit for an answer
    :param on_departure: called with the id of an engine that states in an
        answer that it leaves
    """

    __slots__ = ('_holder', '_http', '_on_departure', '_timeout_ms')

    def __init__(
        self,
        http: HttpClient,
        holder: str,
        timeout_ms: int,
        on_departure: Callable[[str], None],
    ) -> None:
        self._http = http
        self._on_departure = on_departure
        self._holder = holder
        self._timeout_ms = timeout_ms

    async def fetch_accepted_count(self, engine: Listing) -> int:
        """
        Return how many orders an engine has accepted since its start.

        :raises TargetError: the engine was not reached or sent no valid report
        """
        response = await self._http.call(
            'GET',
            f'http://{engine.address}{REPORT_PATH}',
            headers={EXPECTED_TARGET.decode(): engine.name},
            timeout_ms=self._timeout_ms,
            max_body_bytes=MAX_REPLY_BYTES,
        )
        self._read_departure(engine.name, response)
        body = await response.read_body(self._timeout_ms)
        if response.status != HTTP_OK:
            raise RefusedError(
                f'{engine.name}: HTTP {response.status} for a report',
                remedy='see whether the engine is still listed',
            )
        try:
            return _decode_report(body).seq
        except msgspec.MsgspecError as error:
            raise RefusedError(
                f'{engine.name}: undecodable report: {error}',
                remedy='check the version of the engine',
            ) from error

    async def order_role(
        self, engine: Listing, role: str, epoch: int, accepted: int
    ) -> OrderReply:
        """
        Order a role change, conditional on the orders accepted so far.

        :param epoch: fencing token of the lease
        :param accepted: number of orders that the engine must have accepted
        """
        order = _WireOrder(
            op='stage',
            stage=role,
            holder=self._holder,
            fence=epoch,
            expected=accepted,
        )
        try:
            response = await self._http.call(
                'POST',
                f'http://{engine.address}{ORDER_PATH}',
                headers={
                    'Content-Type': 'application/json',
                    EXPECTED_TARGET.decode(): engine.name,
                },
                body=msgspec.json.encode(order),
                timeout_ms=self._timeout_ms,
                max_body_bytes=MAX_REPLY_BYTES,
            )
            self._read_departure(engine.name, response)
            await response.read_body(self._timeout_ms)
        except NotSentError:
            return OrderReply.refused
        except TargetError:
            return OrderReply.unknown
        if response.status in {HTTP_OK, HTTP_ACCEPTED}:
            return OrderReply.accepted
        return OrderReply.refused

    async def free_handle(self, handle: Handle) -> None:
        """
        Release a KV cache that no request will use.

        :raises TargetError: the engine was not reached
        """
        response = await self._http.call(
            'DELETE',
            f'http://{handle.address}{HANDLE_PATH}/{handle.name}',
            headers={EXPECTED_TARGET.decode(): handle.engine},
            timeout_ms=self._timeout_ms,
            max_body_bytes=MAX_REPLY_BYTES,
        )
        self._read_departure(handle.engine, response)
        await response.read_body(self._timeout_ms)

    def _read_departure(self, engine: str, response: TargetResponse) -> None:
        if response.status == HTTP_MISDIRECTED:
            # Another engine has the address now.
            return
        if response.header(LEAVING.decode()).strip() == '1':
            self._on_departure(engine)
