"""HTTP clients for the platform, with their timeouts."""

from typing import Any

from cicadahoist.outside.http import HttpClient
from cicadahoist.platform.objects import ObjectStore
from cicadahoist.platform.settings_file import Address

# The store answers within a few ms, or sixty times that while degraded.
STORE_TIMEOUT_MS = 900
CONNECT_TIMEOUT_MS = 500
ORDER_TIMEOUT_MS = 800


def new_http_client(reactor: Any) -> HttpClient:
    """Return an HTTP client with its own connection pool."""
    return HttpClient(
        reactor, CONNECT_TIMEOUT_MS, send_timeout_ms=STORE_TIMEOUT_MS
    )


def new_store_client(address: Address, reactor: Any) -> ObjectStore:
    """Return a store client with its own connection pool."""
    return ObjectStore.from_address(
        address, new_http_client(reactor), STORE_TIMEOUT_MS
    )
