"""Clients of the platform with their time-outs."""

from typing import Any

from cicadahoist.outside.http import HttpClient
from cicadahoist.platform.objects import ObjectStore
from cicadahoist.platform.settings_file import Address

# The store answers in some ms, sixty times as slowly on a bad day.
STORE_TIMEOUT_MS = 900
CONNECT_TIMEOUT_MS = 500
ORDER_TIMEOUT_MS = 800


def new_http_client(reactor: Any) -> HttpClient:
    """Return a client with connections of its own."""
    return HttpClient(
        reactor, CONNECT_TIMEOUT_MS, send_timeout_ms=STORE_TIMEOUT_MS
    )


def new_store_client(address: Address, reactor: Any) -> ObjectStore:
    """Return a client of the store with connections of its own."""
    return ObjectStore.from_address(
        address, new_http_client(reactor), STORE_TIMEOUT_MS
    )
