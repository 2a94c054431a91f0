"""Contents of a claim object in the store."""

import msgspec

from cicadahoist.codec import Codec


class ClaimRecord(msgspec.Struct, frozen=True, kw_only=True):
    """
    Contents of a claim object in the store.

    :param nonce: nonce of the request that may run
    :param digest: digest of the request's body
    :param outcome: encoded outcome, empty while unknown
    :param created_ms: wall-clock time of the request, from which the claim's
        expiry counts
    """

    nonce: str
    digest: str
    outcome: bytes = b''
    created_ms: int = 0


CLAIMS_PREFIX = 'claims/'

_codec: Codec[ClaimRecord] = Codec.stored('claim', ClaimRecord)
encode_claim = _codec.encode
decode_claim = _codec.decode


def claim_name(workspace: str, route: str, idempotency_digest: str) -> str:
    """
    Return the name of a claim object.

    :param idempotency_digest: digest of the caller's ``Idempotency-Key``
    """
    return f'{CLAIMS_PREFIX}{workspace}/{route}/{idempotency_digest}'
