"""One connection that an instance relays between a peer and a target."""

from collections.abc import Callable
from functools import partial
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.protocol import Factory

from cicadahoist.clock import MS_PER_S, Clock
from cicadahoist.errors import WireError
from cicadahoist.listings import Listing
from cicadahoist.log import get_logger
from cicadahoist.policy.link_queue import LinkQueue
from cicadahoist.reasons import RelayRefusal
from cicadahoist.serving.relay_admission import RelayAdmission
from cicadahoist.serving.relay_messages import (
    OPENED,
    STATUS_BY_REFUSAL,
    RelayRequest,
    decode_request,
)
from cicadahoist.serving.relay_meters import RelayMeters
from cicadahoist.serving.relay_splice import SplicedEnd

logger = get_logger(__name__)

# A peer sends its request with the first packet.
REQUEST_TIMEOUT_MS = 400
# The peer waits for little longer, and has to try elsewhere in time.
CONNECT_TIMEOUT_MS = 200


class RelayedConnection:
    """
    Connection of a peer, and the one to a target that is opened for it.

    :param admission: decides whether it is opened
    :param meters: counts connections and bytes
    :param link: queue of bytes at the link of this instance
    :param clock: clock of the process
    :param reactor: the twisted reactor
    :param on_end: called once both connections have ended
    """

    __slots__ = (
        '_admission',
        '_clock',
        '_connecting',
        '_far_end',
        '_is_ended',
        '_is_relayed',
        '_link',
        '_meters',
        '_on_end',
        '_reactor',
        '_received',
        '_request',
        '_request_timer',
        '_started_ms',
        'near_end',
    )

    def __init__(
        self,
        admission: RelayAdmission,
        meters: RelayMeters,
        link: LinkQueue,
        clock: Clock,
        reactor: Any,
        on_end: Callable[['RelayedConnection'], None],
    ) -> None:
        self._admission = admission
        self._meters = meters
        self._link = link
        self._clock = clock
        self._reactor = reactor
        self._on_end = on_end
        self._received = b''
        self._request: RelayRequest | None = None
        self._connecting: Deferred[Any] | None = None
        self._far_end: SplicedEnd | None = None
        self._is_relayed = False
        self._is_ended = False
        self._started_ms = clock.now_ms()
        self.near_end = SplicedEnd(self._read_request, self._process_loss)
        self._request_timer = clock.call_later(
            REQUEST_TIMEOUT_MS, self._give_up_request
        )

    def abort(self) -> None:
        """Reset both connections."""
        for end in (self.near_end, self._far_end):
            if end is not None and end.is_open:
                end.abort()

    def _give_up_request(self) -> None:
        logger.info('connection of a peer closed: no request in time')
        self.abort()

    def _read_request(self, received: bytes) -> None:
        self._received += received
        try:
            request = decode_request(self._received)
        except WireError as error:
            logger.info('connection of a peer closed: {0}', error)
            self.abort()
            return
        if request is not None and self._request is None:
            self._request = request
            self._request_timer.cancel()
            self._process_request(request)

    def _process_request(self, request: RelayRequest) -> None:
        admitted = self._admission.admit(request)
        if isinstance(admitted, RelayRefusal):
            self._refuse(request, admitted)
            return
        self._is_relayed = True
        self._admission.relayed_count += 1
        connecting = self._connect(admitted)
        self._connecting = connecting
        connecting.addCallbacks(
            partial(self._splice, request),
            partial(self._report_failure, request),
        )
        connecting.addErrback(_log_defect)

    def _connect(self, listing: Listing) -> 'Deferred[Any]':
        host, port = listing.endpoint
        endpoint = TCP4ClientEndpoint(
            self._reactor, host, port, timeout=CONNECT_TIMEOUT_MS / MS_PER_S
        )
        factory: Any = Factory.forProtocol(
            lambda: SplicedEnd(self._reject_early_data, self._process_loss)
        )
        factory.noisy = False
        return endpoint.connect(factory)

    def _reject_early_data(self, received: bytes) -> None:
        self.abort()

    def _splice(self, request: RelayRequest, far_end: SplicedEnd) -> None:
        self._connecting = None
        self._far_end = far_end
        if not self.near_end.is_open:
            far_end.abort()
            return
        self._meters.count_opened()
        self._bind_log(request).bind(
            took_ms=self._clock.now_ms() - self._started_ms
        ).info('connection opened for a peer')
        self.near_end.transport.write(OPENED)
        self.near_end.join(far_end, self._count_bytes)
        far_end.join(self.near_end, self._count_bytes)

    def _report_failure(self, request: RelayRequest, failure: Any) -> None:
        self._connecting = None
        if not self.near_end.is_open:
            self._end()
            return
        refusal = RelayRefusal.target_silent
        if failure.check(ConnectionRefusedError):
            refusal = RelayRefusal.target_refused
        self._refuse(request, refusal)

    def _refuse(self, request: RelayRequest, refusal: RelayRefusal) -> None:
        self._meters.count_refusal(refusal)
        self._bind_log(request).bind(reason=refusal.code).info(
            'connection for a peer not opened'
        )
        self.near_end.transport.write(STATUS_BY_REFUSAL[refusal])
        self.near_end.close()

    def _process_loss(self, end: SplicedEnd) -> None:
        if self._request_timer.active():
            self._request_timer.cancel()
        if self._connecting is not None:
            self._connecting.cancel()
            return
        is_far_open = self._far_end is not None and self._far_end.is_open
        if not self.near_end.is_open and not is_far_open:
            self._end()

    def _end(self) -> None:
        if self._is_ended:
            return
        self._is_ended = True
        if self._is_relayed:
            self._admission.relayed_count -= 1
        self._on_end(self)
        if self._request is None or self._far_end is None:
            return
        near_end, far_end = self.near_end, self._far_end
        is_reset = near_end.is_reset or far_end.is_reset
        self._bind_log(self._request).bind(
            end='reset' if is_reset else 'closed',
            took_ms=self._clock.now_ms() - self._started_ms,
            to_target_bytes=near_end.received_bytes,
            to_peer_bytes=far_end.received_bytes,
        ).info('relayed connection ended')

    def _count_bytes(self, passed_bytes: int) -> None:
        self._meters.count_bytes(passed_bytes)
        self._link.record_sent(passed_bytes, self._clock.now_ms())

    def _bind_log(self, request: RelayRequest) -> Any:
        return logger.bind(
            relay=request.relay_id, peer=request.sender, target=request.target
        )


def _log_defect(failure: Any) -> None:
    logger.error(
        'relaying failed with an unexpected error: {0}', failure.getTraceback()
    )
