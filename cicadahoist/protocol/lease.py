"""Leases with fencing numbers on objects of the platform's store."""

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

HOLDER_STATES = frozenset(('holding', 'renewing', 'renewal_in_doubt'))
LEASE_KIT = ChartKit.load('lease', GUARDS, OUTPUTS)


class SeenVersion:
    """The newest version seen of the lease object, and since when."""

    __slots__ = ('since_ms', 'version')

    def __init__(self) -> None:
        self.version = -1
        self.since_ms = 0

    def update(self, version: int, now_ms: int) -> None:
        """Take in a version that was read or written."""
        if version != self.version:
            self.version = version
            self.since_ms = now_ms


class LeaseKeeper(ChartCore):
    """
    Stands for one lease and holds it.

    Times are readings of one clock that does not stand still while the
    instance is suspended.

    :param name: name of the lease object
    :param holder: name and incarnation of this process
    :param timing: times of the lease
    :param kit: the chart to follow
    :param draw_nonce: returns a value that no other process draws
    """

    __slots__ = (
        '_draw_nonce',
        'write_ms_by_nonce',
        'term_end_ms',
        'holder',
        'is_leaving',
        'name',
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
    ) -> None:
        self.name = name
        self.holder = holder
        self.timing = timing
        self._draw_nonce = draw_nonce
        self.record = LeaseRecord()
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
        """Return a keeper with the times that the settings give."""
        return cls(name, holder, LeaseTiming.from_config(config))

    @property
    def step_down_ms(self) -> int:
        """When the holder stops using the lease."""
        return self.kill_ms - self.timing.margin_ms

    @property
    def kill_ms(self) -> int:
        """When the kernel ends the holder."""
        return self.term_end_ms - self.timing.margin_ms

    def is_holder(self, now_ms: int) -> bool:
        """Tell whether this process may use the lease at this moment."""
        if self.state not in HOLDER_STATES:
            return False
        return now_ms < self.step_down_ms

    def write(self, record: LeaseRecord, now_ms: int) -> None:
        """Send a write of the record; its term counts from now on."""
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
        """Return the end of the term that an own write gives."""
        nonce = read_nonce(event)
        return self.write_ms_by_nonce[nonce] + self.timing.term_ms
