"""Kinds of datagrams between instances, by their first byte."""

from collections.abc import Callable

from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.quota_messages import QUOTA_MARK
from cicadahoist.serving.stream_exchange import STREAM_MARK, Address

Receiver = Callable[[bytes, Address], None]


def find_receiver(context: ServingContext, datagram: bytes) -> Receiver | None:
    """Return what processes a datagram, none for a load report."""
    mark = datagram[:1]
    if mark == STREAM_MARK:
        return context.streams.receive
    if mark == QUOTA_MARK:
        return context.quotas.receive
    return None
