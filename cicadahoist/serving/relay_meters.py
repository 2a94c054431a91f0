"""Metrics of connections that lead through another instance."""

from cicadahoist.metrics import (
    RELAYED_BYTES,
    RELAYS_OPENED,
    RELAYS_USED,
    Metrics,
    MetricSpec,
)
from cicadahoist.reasons import RelayRefusal


class RelayMeters:
    """
    Counts relayed connections, at both instances.

    :param metrics: metrics of the process
    """

    __slots__ = ('_bytes', '_by_refusal', '_opened', '_used')

    def __init__(self, metrics: Metrics) -> None:
        self._bytes = metrics.counter(RELAYED_BYTES)
        self._opened = metrics.counter(RELAYS_OPENED)
        self._used = metrics.counter(RELAYS_USED)
        self._by_refusal = {
            refusal: metrics.counter(MetricSpec.of_relay_refusal(refusal))
            for refusal in RelayRefusal
        }

    def count_used(self) -> None:
        """Count a connection opened through a peer."""
        self._used.add(1)

    def count_opened(self) -> None:
        """Count a connection opened for a peer."""
        self._opened.add(1)

    def count_refusal(self, refusal: RelayRefusal) -> None:
        """Count a connection that was not opened."""
        self._by_refusal[refusal].add(1)

    def count_bytes(self, passed_bytes: int) -> None:
        """Count bytes passed on between a peer and a target."""
        self._bytes.add(passed_bytes)
