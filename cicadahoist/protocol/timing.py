"""Durations that leases use."""

import msgspec

from cicadahoist.config import Config
from cicadahoist.settings import LEASE_MARGIN, LEASE_TERM, ORDER_BOUND

RENEWALS_PER_TERM = 3


class LeaseTiming(msgspec.Struct, frozen=True, kw_only=True):
    """
    Durations of a lease in milliseconds.

    :param term_ms: how long one write keeps the lease
    :param margin_ms: the kernel terminates the holder this long before the
        end of the term, and the holder steps down another margin earlier
    :param order_bound_ms: longest time that a sent order can be in transit
    """

    term_ms: int
    margin_ms: int
    order_bound_ms: int

    @classmethod
    def from_config(cls, config: Config) -> 'LeaseTiming':
        """Return the durations given by the settings."""
        return cls(
            term_ms=config.read(LEASE_TERM),
            margin_ms=config.read(LEASE_MARGIN),
            order_bound_ms=config.read(ORDER_BOUND),
        )

    @property
    def takeover_ms(self) -> int:
        """How long a version must stay unchanged before a takeover."""
        return self.term_ms + self.order_bound_ms

    @property
    def renewal_ms(self) -> int:
        """Interval between renewals."""
        return self.term_ms // RENEWALS_PER_TERM
