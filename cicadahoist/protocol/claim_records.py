"""What a claim object in the store holds."""

import msgspec

from cicadahoist.errors import WireError


class ClaimRecord(msgspec.Struct, frozen=True, kw_only=True):
    """
    What a claim object in the store holds.

    :param nonce: the request that may run
    :param digest: digest of the request's body
    :param outcome: encoded outcome, empty while unknown
    :param created_ms: wall-clock time of the request, from which it expires
    """

    nonce: str
    digest: str
    outcome: bytes = b''
    created_ms: int = 0


CLAIMS_PREFIX = 'claims/'

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(ClaimRecord)


def encode_claim(record: ClaimRecord) -> bytes:
    """Return the stored form (JSON) of a claim."""
    return _encoder.encode(record)


def claim_name(workspace: str, route: str, idempotency_digest: str) -> str:
    """
    Return the name of a claim object.

    :param idempotency_digest: digest of the caller's ``Idempotency-Key``
    """
    return f'{CLAIMS_PREFIX}{workspace}/{route}/{idempotency_digest}'


def decode_claim(payload: bytes) -> ClaimRecord:
    """
    Decode a claim.

    :raises WireError: the payload is no claim of this version
    """
    try:
        return _decoder.decode(payload)
    except msgspec.MsgspecError as error:
        raise WireError(
            f'undecodable claim: {error}',
            remedy='run the same version on all instances',
        ) from error
