"""Opens one connection directly, and through a peer if that takes long."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import CancelledError, Deferred

from cicadahoist.clock import Clock
from cicadahoist.errors import NotSentError
from cicadahoist.log import get_logger
from cicadahoist.serving.outbound import TargetConnection

logger = get_logger(__name__)

Open = Callable[[], 'Deferred[TargetConnection]']


class PathRace:
    """
    Opens a connection over the path that is faster.

    A direct attempt goes on if the other one is faster, as it shows whether the
    direct path is usable.

    :param clock: clock of the process
    :param relay_delay_ms: time until a peer is asked unless the direct attempt
        fails before
    :param open_direct: opens a connection directly
    :param open_relayed: opens a connection through a peer
    """

    __slots__ = (
        '_clock',
        '_direct_failure',
        '_has_relay_failed',
        '_open_direct',
        '_open_relayed',
        '_opened',
        '_relay',
        '_relay_delay_ms',
        '_timer',
        'on_late',
        'on_overtaken',
    )

    def __init__(
        self,
        clock: Clock,
        relay_delay_ms: int,
        open_direct: Open,
        open_relayed: Open,
    ) -> None:
        self._clock = clock
        self._relay_delay_ms = relay_delay_ms
        self._open_direct = open_direct
        self._open_relayed = open_relayed
        self._opened: Deferred[TargetConnection] = Deferred()
        self._relay: Deferred[None] | None = None
        self._timer: Any = None
        self._direct_failure: Any = None
        self._has_relay_failed = False
        # Called when the relayed connection is open and the direct one is not.
        self.on_overtaken: Callable[[], None] = _ignore
        # Called with a direct connection that was opened after that.
        self.on_late: Callable[[TargetConnection], None] = _close

    def run(self) -> 'Deferred[TargetConnection]':
        """
        Return the connection that is open first.

        It fails as the direct attempt did if the other one fails as well.
        """
        self._timer = self._clock.call_later(
            self._relay_delay_ms, self._start_relay
        )
        self._open_direct().addCallbacks(self._end_direct, self._fail_direct)
        return self._opened

    def _start_relay(self) -> None:
        if self._relay is None:
            self._relay = self._open_relayed().addCallbacks(
                self._end_relay, self._fail_relay
            )

    def _end_direct(self, connection: TargetConnection) -> None:
        if self._timer.active():
            self._timer.cancel()
        if self._opened.called:
            self.on_late(connection)
            return
        self._opened.callback(connection)
        if self._relay is not None:
            self._relay.cancel()

    def _fail_direct(self, failure: Any) -> None:
        if self._timer.active():
            self._timer.cancel()
        self._direct_failure = failure
        self._start_relay()
        self._fail_if_over()

    def _end_relay(self, connection: TargetConnection) -> None:
        if self._opened.called:
            connection.close()
            return
        if self._direct_failure is None:
            self.on_overtaken()
        self._opened.callback(connection)

    def _fail_relay(self, failure: Any) -> None:
        if not failure.check(NotSentError, CancelledError):
            logger.error(
                'opening through a peer raised an unexpected error: {0}',
                failure.getTraceback(),
            )
        self._has_relay_failed = True
        self._fail_if_over()

    def _fail_if_over(self) -> None:
        is_over = self._has_relay_failed and self._direct_failure is not None
        if is_over and not self._opened.called:
            self._opened.errback(self._direct_failure)


def _ignore() -> None:
    """Do nothing."""


def _close(connection: TargetConnection) -> None:
    connection.close()
