"""Competes for one lease and runs a duty while holding it."""

from collections.abc import Callable
from typing import Any

from cicadahoist.clock import Clock, Timer
from cicadahoist.control.duty import Duty
from cicadahoist.control.duty_calls import DutyCalls
from cicadahoist.control.store_calls import StoreCalls
from cicadahoist.control.term_deadlines import TermDeadlines
from cicadahoist.log import get_logger
from cicadahoist.outside.store import LeaseStore
from cicadahoist.protocol.actions import (
    Action,
    ArmTimer,
    DisarmTimer,
    LeaseWon,
    ReadObject,
    StepDown,
    WriteObject,
)
from cicadahoist.protocol.authority import Authority
from cicadahoist.protocol.events import (
    Leave,
    TargetsReachable,
    TargetsUnreachable,
    Tick,
)
from cicadahoist.protocol.lease import HOLDER_STATES
from cicadahoist.protocol.records import get_era

logger = get_logger(__name__)

TICK_MS = 100
TICKS_PER_S = 10
STOP_TIMEOUT_MS = 3000
STANDBY = 'standby'
LEFT = 'left'


class LeaseTask:
    """
    Executes the actions that the state machines of a lease request.

    :param authority: the lease and its order book
    :param duty: the work done by the lease holder
    :param store: the store that keeps the lease record
    :param clock: clock of the process; the kernel timer must follow it
    :param deadlines: ends the process if it outlives a lease term
    :param may_stand: returns whether this process may acquire the lease
    :param may_hold: returns whether it may continue to hold the lease
    :param standby_check_period_s: returns the seconds between two checks of a
        standby; 1 s if absent
    """

    __slots__ = (
        '_authority',
        '_clock',
        '_deadlines',
        '_duty',
        '_duty_calls',
        '_may_hold',
        '_may_stand',
        '_standby_check_period_s',
        '_store_calls',
        '_tick_count',
        '_timer',
    )

    def __init__(
        self,
        authority: Authority,
        duty: Duty,
        store: LeaseStore,
        clock: Clock,
        deadlines: TermDeadlines,
        *,
        may_stand: Callable[[], bool],
        may_hold: Callable[[], bool],
        standby_check_period_s: Callable[[], int] | None = None,
    ) -> None:
        self._standby_check_period_s = standby_check_period_s
        self._authority = authority
        self._duty = duty
        self._clock = clock
        self._deadlines = deadlines
        self._may_stand = may_stand
        self._may_hold = may_hold
        self._store_calls = StoreCalls(store, self.handle)
        self._duty_calls = DutyCalls(duty, self.handle)
        self._tick_count = 0
        self._timer: Timer | None = None

    @property
    def is_holder(self) -> bool:
        """Whether the lease may be used at this moment."""
        return self._authority.lease.is_holder(self._clock.now_ms())

    @property
    def epoch(self) -> int:
        """Fencing token of the lease record as last seen."""
        return self._authority.lease.record.epoch

    def record_epoch(self, epoch: int) -> None:
        """Record a fencing token, so that later claims are above it."""
        self._authority.lease.record_epoch(epoch)

    async def start(self) -> None:
        """Start to compete for the lease."""
        self._tick()

    async def stop(self) -> None:
        """
        Settle open orders, then release the lease.

        Returns after ``STOP_TIMEOUT_MS`` at the latest, for instance while the
        store is unavailable.
        """
        self.handle(Leave())
        deadline_ms = self._clock.now_ms() + STOP_TIMEOUT_MS
        while self._has_open_work() and self._clock.now_ms() < deadline_ms:
            await self._clock.sleep(TICK_MS)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def handle(self, event: Any) -> None:
        """Pass an event to the lease and execute the resulting actions."""
        now_ms = self._clock.now_ms()
        for action in self._authority.handle(event, now_ms):
            self._execute(action)

    @property
    def _state(self) -> str:
        return self._authority.lease.state

    def _has_open_work(self) -> bool:
        return self._state != LEFT or self._store_calls.open_write_count > 0

    def _tick(self) -> None:
        self._timer = self._clock.call_later(TICK_MS, self._tick)
        self._tick_count += 1
        if not self._may_hold():
            self.handle(TargetsUnreachable())
            return
        self.handle(TargetsReachable())
        if self._is_due():
            self.handle(Tick())
        if self._state in HOLDER_STATES and self.is_holder:
            self._duty.tick(self._clock.now_ms())

    def _is_due(self) -> bool:
        if self._state != STANDBY:
            return True
        if not self._may_stand():
            return False
        period_s = (
            self._standby_check_period_s()
            if self._standby_check_period_s
            else 1
        )
        return self._tick_count % (TICKS_PER_S * period_s) == 0

    def _execute(self, action: Action) -> None:
        name = self._authority.lease.name
        match action:
            case ReadObject():
                self._store_calls.read(action)
            case WriteObject():
                self._store_calls.write(action)
            case ArmTimer():
                self._deadlines.arm(name, action.deadline_ms)
            case DisarmTimer():
                self._deadlines.disarm(name)
            case _:
                _log_action(name, action)
                self._duty_calls.run(action)


def _log_action(name: str, action: Action) -> None:
    match action:
        case LeaseWon():
            record = action.record
            logger.bind(
                epoch=record.epoch,
                era=get_era(record.epoch),
                holder=record.holder,
                nonce=record.nonce,
            ).info('won {0}', name)
        case StepDown():
            logger.bind(epoch=action.epoch).info('gave up {0}', name)
        case _:
            logger.debug('{0}: {1}', name, type(action).__name__)
