"""Refusals: the typed error of a request that ends without an answer."""

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

    :param reason: code, status and remedy
    :param detail: message for the caller
    :param retry_after_ms: delay after which a retry may succeed, 0 if the
        caller should not retry
    :param outcome: whether the request may have run, if it differs from the
        outcome of the reason
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
        """Return the error in the format of the model interface."""
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
