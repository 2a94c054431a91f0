"""Faults that tests inject through ``POST /standin/fault``."""

from collections.abc import Callable
from typing import Any

import msgspec

from cicadahoist.errors import ConfigError
from cicadahoist.outside.http import HTTP_BAD_REQUEST
from cicadahoist.standin.web import answer, read_body, refuse


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """
    A fault to inject; each kind uses some of the fields.

    :param kind: registered name of the fault, ``none`` ends all faults
    :param delay_ms: delay or duration in ms
    :param count: number of affected calls or tokens
    :param share: share of affected calls, 0 to 1
    :param mark: name or text that selects what is affected
    """

    kind: str
    delay_ms: int = 0
    count: int = 0
    share: float = 0
    mark: str = ''


NO_FAULT = Fault(kind='none')


def serve_fault(
    apply_fault: Callable[[Fault], None],
) -> Callable[[Any], bytes]:
    """Return a request handler for ``POST /standin/fault``."""

    def handle(request: Any) -> bytes:
        fault = msgspec.json.decode(read_body(request), type=Fault)
        try:
            apply_fault(fault)
        except ConfigError as error:
            return refuse(request, HTTP_BAD_REQUEST, str(error))
        return answer(request, fault)

    return handle
