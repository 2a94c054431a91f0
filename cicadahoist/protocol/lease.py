"""Leases with fencing tokens, held on objects of the platform's store."""

from collections.abc import Callable

import msgspec

from cicadahoist.config import Config
from cicadahoist.ids import new_nonce
from cicadahoist.protocol.actions import WriteObject
from cicadahoist.protocol.events import ObjectRead, WriteConfirmed, read_nonce
from cicadahoist.protocol.lease_guards import GUARDS
from cicadahoist.protocol.lease_outputs import OUTPUTS
from cicadahoist.protocol.machine import ChartCore, ChartKit
from cicadahoist.protocol.records import LeaseRecord, encode_record
from cicadahoist.protocol.timing import LeaseTiming

HOLDER_STATES = frozenset(('holding', 'renewing', 'resolving_renewal'))
LEASE_KIT = ChartKit.load('lease', GUARDS, OUTPUTS)


class SeenVersion:
    """
    Latest observed version of the lease object.

    Versions of different eras of the store have no order and no identity.

    :ivar since_ms: clock reading at which the version was first observed
    :ivar era: era of the store, none before the first read
    :ivar era_since_ms: clock reading at which the era was first observed
    """

    __slots__ = ('era', 'era_since_ms', 'since_ms', 'version')

    def __init__(self) -> None:
        self.version = -1
        self.since_ms = 0
        self.era: int | None = None
        self.era_since_ms = 0

    def update(self, version: int, now_ms: int) -> None:
        """Record a version that was read or written in the era."""
        if version != self.version:
            self.version = version
            self.since_ms = now_ms

    def enter_era(self, era: int, now_ms: int) -> None:
        """Record the era of a read; no version is known at its begin."""
        if era != self.era:
            self.era = era
            self.era_since_ms = now_ms
            self.forget()

    def forget(self) -> None:
        """Take the next version for one that was not observed before."""
        self.version = -1


class LeaseKeeper(ChartCore):
    """
    Competes for one lease, and renews it while this process holds it.

    Times are readings of one clock that keeps running while the instance is
    suspended.

    :param name: name of the lease object
    :param holder: name and incarnation of this process
    :param timing: durations that the lease uses
    :param kit: chart and functions to run
    :param draw_nonce: returns a globally unique value
    :param may_release: whether a holder that stops early frees the lease at
        once; if not, the lease lapses with its term, so that holders never take
        turns within one
    """

    __slots__ = (
        '_draw_nonce',
        'write_ms_by_nonce',
        'term_end_ms',
        'holder',
        'is_leaving',
        'may_release',
        'name',
        'newest_epoch',
        'pending_record',
        'record',
        'seen_version',
        'timing',
    )

    def __init__(
        self,
        name: str,
        holder: str,
        timing: LeaseTiming,
        kit: ChartKit | None = None,
        draw_nonce: Callable[[], str] = new_nonce,
        *,
        may_release: bool = True,
    ) -> None:
        self.name = name
        self.holder = holder
        self.timing = timing
        self._draw_nonce = draw_nonce
        self.may_release = may_release
        self.record = LeaseRecord()
        # The record may go back with its store; epochs of claims must not.
        self.newest_epoch = 0
        self.pending_record = LeaseRecord()
        self.seen_version = SeenVersion()
        self.write_ms_by_nonce: dict[str, int] = {}
        self.term_end_ms = 0
        self.is_leaving = False
        super().__init__(kit or LEASE_KIT)

    @classmethod
    def from_config(
        cls, config: Config, name: str, holder: str
    ) -> 'LeaseKeeper':
        """Return a keeper whose durations come from the settings."""
        return cls(name, holder, LeaseTiming.from_config(config))

    @property
    def step_down_ms(self) -> int:
        """Clock reading at which the holder stops using the lease."""
        return self.kill_ms - self.timing.margin_ms

    @property
    def kill_ms(self) -> int:
        """Clock reading at which the kernel terminates the holder."""
        return self.term_end_ms - self.timing.margin_ms

    def is_holder(self, now_ms: int) -> bool:
        """Return whether this process may use the lease at ``now_ms``."""
        if self.state not in HOLDER_STATES:
            return False
        return now_ms < self.step_down_ms

    def observe(self, record: LeaseRecord) -> None:
        """Record the contents of the object as read or written."""
        self.record = record
        self.record_epoch(record.epoch)

    def record_epoch(self, epoch: int) -> None:
        """Record an epoch of any holder; later claims are above it."""
        self.newest_epoch = max(self.newest_epoch, epoch)

    def write(self, record: LeaseRecord, now_ms: int) -> None:
        """
        Request a write of the record.

        The term of the lease counts from ``now_ms``, before the write is sent.
        """
        nonce = self._draw_nonce()
        self.pending_record = msgspec.structs.replace(record, nonce=nonce)
        self.write_ms_by_nonce[nonce] = now_ms
        self.actions.append(
            WriteObject(
                self.name,
                encode_record(self.pending_record),
                self.seen_version.version,
                nonce,
            )
        )

    def compute_term_end(self, event: ObjectRead | WriteConfirmed) -> int:
        """Return when the term ends that a write of this process grants."""
        nonce = read_nonce(event)
        return self.write_ms_by_nonce[nonce] + self.timing.term_ms
