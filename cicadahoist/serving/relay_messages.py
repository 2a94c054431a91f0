"""Messages that open a connection to a target through another instance."""

import msgspec

from cicadahoist.codec import Codec
from cicadahoist.errors import WireError
from cicadahoist.reasons import RelayRefusal

VERSION = 1
# Length of a request, before the request itself.
LENGTH_BYTES = 2
MAX_REQUEST_BYTES = 1024
# The answer is one of these bytes; after `OPENED`, all bytes are those of the
# connection to the target.
OPENED = b'\x00'
STATUS_BY_REFUSAL = {
    RelayRefusal.target_refused: b'\x01',
    RelayRefusal.target_silent: b'\x02',
    RelayRefusal.denied: b'\x03',
    RelayRefusal.busy: b'\x04',
    RelayRefusal.leaving: b'\x05',
}
REFUSALS_BY_STATUS = {
    status: refusal for refusal, status in STATUS_BY_REFUSAL.items()
}


class RelayRequest(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """
    Request for a connection to a target.

    :param token: token of the instance that receives the request
    :param sender: name of the instance that sends it
    :param relay_id: id of the connection in the logs of both instances
    :param target: name of the target
    :param started_ms: start of the target, as the sender lists it
    """

    version: int
    token: str
    sender: str
    relay_id: str
    target: str
    started_ms: int


_codec: Codec[RelayRequest] = Codec.packed('relay request', RelayRequest)


def encode_request(request: RelayRequest) -> bytes:
    """Return a request with its length in front."""
    encoded = _codec.encode(request)
    return len(encoded).to_bytes(LENGTH_BYTES) + encoded


def decode_request(received: bytes) -> RelayRequest | None:
    """
    Decode a request.

    :return: the request, or none as long as it is incomplete
    :raises WireError: the bytes are no request
    """
    size = int.from_bytes(received[:LENGTH_BYTES])
    if size > MAX_REQUEST_BYTES or len(received) > LENGTH_BYTES + size:
        raise WireError(
            f'relay request of {size} bytes, {len(received)} received',
            remedy='run the same version on all instances',
        )
    if len(received) < LENGTH_BYTES + size:
        return None
    return _codec.decode(received[LENGTH_BYTES:])
