"""Drains targets before planned changes and reopens them afterwards."""

from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.defer import Deferred

from cicadahoist.clock import Clock
from cicadahoist.control.entry_link import EntryLink
from cicadahoist.control.targets import Targets
from cicadahoist.errors import CicadahoistError
from cicadahoist.log import get_logger
from cicadahoist.messages import DrainAck, DrainNotice, InstanceInfo
from cicadahoist.outside.engine import EngineAdapter
from cicadahoist.protocol.drain import Drain
from cicadahoist.protocol.drain_events import (
    AllowChange,
    ChangeCancelled,
    ChangeEnded,
    DrainAcked,
    EntriesChanged,
    LoadRead,
    ReadLoad,
    SendNotice,
)
from cicadahoist.protocol.events import Tick
from cicadahoist.protocol.order_events import PlanOrder

logger = get_logger(__name__)

DRAIN_LIMIT_MS = 120_000
READY = 'ready'
POSTPONED = 'postponed'


class PlannedChange(msgspec.Struct, frozen=True):
    """A change whose target is being drained or whose order is open."""

    plan: PlanOrder
    drain: Drain


class Drains:
    """
    Runs the drains of the targets of one zone.

    Every entry that may be running has to acknowledge a drain, including
    silent ones, as they may be suspended. Otherwise the change is postponed.

    :param engines: engine adapter
    :param link: connection to the entries
    :param clock: clock of the process
    :param targets: targets in the operators' table
    :param plan_order: called once a target has no work and receives no more;
        returns whether the order was planned
    """

    __slots__ = (
        '_change_by_target',
        '_clock',
        '_engines',
        '_inherited_notices',
        '_link',
        '_plan_order',
        '_targets',
    )

    def __init__(
        self,
        engines: EngineAdapter,
        link: EntryLink,
        clock: Clock,
        *,
        targets: Targets,
        plan_order: Callable[[PlanOrder], bool],
    ) -> None:
        self._engines = engines
        self._link = link
        self._clock = clock
        self._targets = targets
        self._plan_order = plan_order
        self._change_by_target: dict[str, PlannedChange] = {}
        self._inherited_notices: dict[str, DrainNotice] = {}
        link.subscribe(DrainAck, self._on_ack)

    def list_changing(self) -> set[str]:
        """Return the targets with a change in progress."""
        return set(self._change_by_target) | set(self._inherited_notices)

    def begin(self, plan: PlanOrder, drain_id: str) -> bool:
        """
        Start a drain unless the target has a change in progress.

        :param plan: order to plan when the drain has completed
        :param drain_id: identifier of the drain
        :return: whether the drain was started
        """
        if plan.target in self.list_changing():
            return False
        deadline_ms = self._clock.now_ms() + DRAIN_LIMIT_MS
        drain = Drain(
            plan.target, drain_id, self._list_incarnations(), deadline_ms
        )
        self._change_by_target[plan.target] = PlannedChange(plan, drain)
        self._dispatch(drain, Tick())
        return True

    def inherit(self, notice: DrainNotice) -> None:
        """Continue the drain of an open order of the previous lease holder."""
        self._inherited_notices[notice.target] = notice
        self._link.broadcast(notice)

    def retract_notice(self, target: str, drain_id: str) -> None:
        """
        Retract a drain that the previous lease holder left without an order.

        :param drain_id: identifier greater than those of the previous holder
        """
        if target not in self.list_changing():
            self._link.broadcast(
                DrainNotice(target=target, order=drain_id, active=False)
            )

    def tick(self) -> None:
        """Repeat notices and advance all drains."""
        entries = self._list_incarnations()
        for notice in self._inherited_notices.values():
            self._link.broadcast(notice)
        for change in list(self._change_by_target.values()):
            if change.drain.incarnation_by_entry != entries:
                self._dispatch(change.drain, EntriesChanged(entries))
            self._dispatch(change.drain, Tick())
            if change.drain.state == POSTPONED:
                self._postpone(change)

    def end(self, target: str) -> None:
        """End the drain of a target, so that entries may use it again."""
        change = self._change_by_target.pop(target, None)
        if change is not None:
            is_allowed = change.drain.state == READY
            ended = ChangeEnded() if is_allowed else ChangeCancelled()
            self._dispatch(change.drain, ended)
        notice = self._inherited_notices.pop(target, None)
        if notice is not None:
            self._link.broadcast(msgspec.structs.replace(notice, active=False))

    def abandon(self) -> None:
        """End all drains whose order was not planned, and forget the others."""
        for target, change in list(self._change_by_target.items()):
            if change.drain.state != READY:
                self.end(target)
        self._change_by_target.clear()
        self._inherited_notices.clear()

    def _list_incarnations(self) -> dict[str, str]:
        return {
            name: entry.incarnation
            for name, entry in self._link.list_not_gone().items()
        }

    def _on_ack(self, sender: InstanceInfo, ack: DrainAck) -> None:
        change = self._change_by_target.get(ack.target)
        if change is not None:
            self._dispatch(change.drain, DrainAcked(ack))

    def _dispatch(self, drain: Drain, event: Any) -> None:
        for action in drain.handle(event, self._clock.now_ms()):
            match action:
                case SendNotice():
                    self._link.broadcast(action.notice)
                case ReadLoad():
                    reading = Deferred.fromCoroutine(
                        self._read_load(drain, action)
                    )
                    reading.addErrback(_log_failure)
                case AllowChange():
                    self._start_order(action.target)

    def _start_order(self, target: str) -> None:
        change = self._change_by_target[target]
        if not self._plan_order(change.plan):
            self.end(target)

    def _postpone(self, change: PlannedChange) -> None:
        self._change_by_target.pop(change.plan.target)
        logger.bind(missing=change.drain.undrained_entries).warning(
            'change of {0} postponed: its drain timed out', change.plan.target
        )

    async def _read_load(self, drain: Drain, action: ReadLoad) -> None:
        target = self._targets.find(action.target)
        if target is None:
            if self._targets.is_loaded:
                self.end(action.target)
            return
        try:
            load = await self._engines.fetch_load(target)
        except CicadahoistError as error:
            logger.debug(
                'load of {0} cannot be read: {1}', action.target, error
            )
            return
        # The load lags by its age, so it describes a time before the request.
        measured_ms = action.requested_ms - load.age_ms
        self._dispatch(drain, LoadRead(measured_ms, load.running + load.queued))


def _log_failure(failure: Any) -> None:
    logger.error(
        'drain failed with an unexpected error: {0}', failure.getTraceback()
    )
