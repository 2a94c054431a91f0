"""Drains: delay a planned change until its target has no work."""

from typing import Any

from cicadahoist.messages import DrainAck, DrainNotice
from cicadahoist.protocol.drain_events import (
    AllowChange,
    DrainAcked,
    EntriesChanged,
    LoadRead,
    ReadLoad,
    SendNotice,
)
from cicadahoist.protocol.machine import ChartCore, ChartKit, Guard, Output
from cicadahoist.registry import Registry

GUARDS: Registry[Guard] = Registry('guard of the drain chart')
OUTPUTS: Registry[Output] = Registry('output of the drain chart')

ENDED_STATES = frozenset(('postponed', 'ended'))


class Drain(ChartCore):
    """
    The drain of one target.

    An entry counts as live until it is known to be gone, as a silent entry may
    only be suspended and may send again. A new entry sends no work until a
    heartbeat of this instance confirms that its own heartbeats arrive. The
    active notice precedes that heartbeat in the same batch, so a new entry
    does not need another round of notices.

    :param target: the target
    :param order: identifier of the drain
    :param incarnation_by_entry: incarnations of live entries by name
    :param deadline_ms: clock reading at which the drain is cancelled
    :param kit: chart and functions to run
    """

    __slots__ = (
        'ack_by_entry',
        'incarnation_by_entry',
        'last_ack_ms',
        'deadline_ms',
        'order',
        'target',
    )

    def __init__(
        self,
        target: str,
        order: str,
        incarnation_by_entry: dict[str, str],
        deadline_ms: int,
        kit: ChartKit | None = None,
    ) -> None:
        super().__init__(kit or DRAIN_KIT)
        self.target = target
        self.order = order
        self.incarnation_by_entry = incarnation_by_entry
        self.deadline_ms = deadline_ms
        self.ack_by_entry: dict[str, DrainAck] = {}
        self.last_ack_ms = 0

    @property
    def undrained_entries(self) -> list[str]:
        """
        Names of the entries that the drain still waits for.

        They have not acknowledged it, or have open requests at the target.
        """
        return [
            name
            for name, incarnation in self.incarnation_by_entry.items()
            if not self.is_entry_drained(name, incarnation)
        ]

    def active_notice(self) -> DrainNotice | None:
        """Return the notice to send before each heartbeat, if any."""
        if self.state in ENDED_STATES:
            return None
        return self._make_notice(active=True)

    def is_entry_drained(self, name: str, incarnation: str) -> bool:
        """Return whether an entry acknowledged without open requests."""
        ack = self.ack_by_entry.get(name)
        if ack is None or ack.incarnation != incarnation:
            return False
        return not ack.open_requests

    def request_notice(self, *, active: bool) -> None:
        """Add the action that sends a notice to every entry."""
        self.actions.append(SendNotice(self._make_notice(active=active)))

    def _make_notice(self, *, active: bool) -> DrainNotice:
        return DrainNotice(target=self.target, order=self.order, active=active)


@GUARDS.register('all_acked')
def _all_acked(drain: Drain, event: Any, now_ms: int) -> bool:
    return not drain.undrained_entries


@GUARDS.register('target_empty')
def _target_empty(drain: Drain, event: LoadRead, now_ms: int) -> bool:
    return event.requested_ms >= drain.last_ack_ms and not event.open_requests


@GUARDS.register('deadline_passed')
def _deadline_passed(drain: Drain, event: Any, now_ms: int) -> bool:
    return now_ms >= drain.deadline_ms


@OUTPUTS.register('note_ack')
def _note_ack(drain: Drain, event: DrainAcked, now_ms: int) -> None:
    ack = event.ack
    if (ack.target, ack.order) != (drain.target, drain.order):
        return
    before = drain.ack_by_entry.get(ack.instance)
    drain.ack_by_entry[ack.instance] = ack
    if before != ack:
        drain.last_ack_ms = now_ms


@OUTPUTS.register('note_entries')
def _note_entries(drain: Drain, event: EntriesChanged, now_ms: int) -> None:
    drain.incarnation_by_entry = event.incarnations


@OUTPUTS.register('announce')
def _announce(drain: Drain, event: Any, now_ms: int) -> None:
    drain.request_notice(active=True)


@OUTPUTS.register('read_load')
def _read_load(drain: Drain, event: Any, now_ms: int) -> None:
    drain.actions.append(ReadLoad(drain.target, now_ms))


@OUTPUTS.register('allow')
def _allow(drain: Drain, event: Any, now_ms: int) -> None:
    drain.actions.append(AllowChange(drain.target))


@OUTPUTS.register('withdraw')
def _withdraw(drain: Drain, event: Any, now_ms: int) -> None:
    drain.request_notice(active=False)


DRAIN_KIT = ChartKit.load('drain', GUARDS, OUTPUTS)
