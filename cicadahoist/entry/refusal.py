"""Refusals: the typed error of a request that gets no answer."""

import msgspec

from cicadahoist.clock import MS_PER_S
from cicadahoist.errors import CicadahoistError
from cicadahoist.reasons import Outcome, Refusal

_ERROR_TYPES = {
    400: 'invalid_request_error',
    401: 'authentication_error',
    403: 'permission_error',
    404: 'not_found_error',
    429: 'rate_limit_error',
}


class RequestRefusedError(CicadahoistError):
    """
    A request ends without an answer.

    :param reason: why
    :param detail: what was met, for the caller to read
    :param retry_after_ms: when coming back helps, 0 if it does not
    :param outcome: what the request may have done, where it differs from
        what the reason says
    """

    kind = 'refused'

    def __init__(
        self,
        reason: Refusal,
        detail: str,
        *,
        retry_after_ms: int = 0,
        outcome: Outcome | None = None,
    ) -> None:
        super().__init__(detail, remedy=reason.remedy)
        self.reason = reason
        self.retry_after_ms = retry_after_ms
        self.outcome = outcome or reason.outcome

    def compute_retry_after_s(self) -> int:
        """Return the value of ``Retry-After``: whole seconds, rounded up."""
        return -(-self.retry_after_ms // MS_PER_S)

    def encode_body(self, request_id: str) -> bytes:
        """Return the error in the shape of the usual interface."""
        return msgspec.json.encode(
            {
                'error': {
                    'message': str(self),
                    'type': _ERROR_TYPES.get(
                        self.reason.status, 'server_error'
                    ),
                    'param': None,
                    'code': self.reason.code,
                    'outcome': self.outcome.value,
                    'remedy': self.remedy,
                    'retry_after_ms': self.retry_after_ms,
                    'request_id': request_id,
                },
            }
        )
