"""HTTP clients for the platform and for engines, with their timeouts."""

from typing import Any

from cicadahoist.outside.http import HttpClient
from cicadahoist.platform.objects import ObjectStore
from cicadahoist.platform.settings_file import Address

# The store answers within a few ms, or sixty times that while degraded.
STORE_TIMEOUT_MS = 900
CONNECT_TIMEOUT_MS = 500
ORDER_TIMEOUT_MS = 800


def new_platform_client(reactor: Any) -> HttpClient:
    """Return an HTTP client with its own connection pool."""
    return HttpClient(
        reactor,
        CONNECT_TIMEOUT_MS,
        reuse=True,
        send_timeout_ms=STORE_TIMEOUT_MS,
    )


def new_engine_client(reactor: Any) -> HttpClient:
    """Return an HTTP client that opens a connection for each call."""
    return HttpClient(
        reactor, CONNECT_TIMEOUT_MS, send_timeout_ms=STORE_TIMEOUT_MS
    )


def new_store_client(address: Address, reactor: Any) -> ObjectStore:
    """Return a store client with its own connection pool."""
    return ObjectStore.from_address(
        address, new_platform_client(reactor), STORE_TIMEOUT_MS
    )
