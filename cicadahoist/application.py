"""Life cycle of a process: settings, logs, metrics and tasks."""

import signal
import sys
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from twisted.internet.defer import Deferred

from cicadahoist.clock import Clock, use_boot_time
from cicadahoist.config import Config
from cicadahoist.log import configure_logging, get_logger
from cicadahoist.loop_times import LoopTimes
from cicadahoist.metrics import LONG_TURN, Metrics
from cicadahoist.settings import LOG_FORMAT, LOG_LEVEL

logger = get_logger(__name__)

EXIT_FAILURE = 1
# Turns of the event loop that last this long are logged.
LONG_TURN_MS = 100


class Task(Protocol):
    """Component of a process that owns its sockets and its state."""

    async def start(self) -> None:
        """Open sockets and start work."""

    async def stop(self) -> None:
        """Finish open work, then close sockets."""


class Application:
    """
    Runs tasks until SIGTERM or SIGINT, then stops them.

    Tasks start in the order in which they were added, one after the other.
    Those that have begun to start stop in reverse order.

    :param config: validated settings
    :param reactor: the twisted reactor
    """

    __slots__ = (
        '_has_failed',
        '_is_stopping',
        '_long_turns',
        '_on_reload',
        '_reactor',
        '_running_tasks',
        '_tasks',
        'clock',
        'config',
        'loop_times',
        'metrics',
    )

    def __init__(self, config: Config, reactor: Any) -> None:
        self.config = config
        self.clock = Clock.from_reactor(reactor)
        self.metrics = Metrics.exposed()
        self.loop_times = LoopTimes(self.clock)
        self.loop_times.on_turn = self._report_turn
        self._long_turns = self.metrics.histogram(LONG_TURN)
        self._reactor = reactor
        self._tasks: list[Task] = []
        self._running_tasks: list[Task] = []
        self._is_stopping = False
        self._on_reload: list[Callable[[], None]] = []
        self._has_failed = False

    @classmethod
    def from_config(cls, config: Config) -> 'Application':
        """Set up logging; return an application on the default reactor."""
        from twisted.internet import reactor  # noqa: PLC0415, WPS433

        configure_logging(config.read(LOG_FORMAT), config.read(LOG_LEVEL))
        use_boot_time(reactor)
        application = cls(config, reactor)
        application.loop_times.attach(reactor)
        return application

    def add(self, task: Task) -> None:
        """Add a task that :meth:`run` starts and stops."""
        self._tasks.append(task)

    def on_reload(self, action: Callable[[], None]) -> None:
        """Call ``action`` on SIGHUP, which requests a reload of settings."""
        self._on_reload.append(action)

    def run(self) -> None:
        """
        Run until a signal arrives and all tasks have stopped.

        :raises SystemExit: starting or stopping a task failed
        """
        self._reactor.callWhenRunning(self._spawn, self._start_tasks())
        self._reactor.run(installSignalHandlers=False)
        if self._has_failed:
            sys.exit(EXIT_FAILURE)

    def _report_turn(self, took_ms: int, event_count: int) -> None:
        if took_ms >= LONG_TURN_MS:
            self._long_turns.record(took_ms)
            logger.bind(took_ms=took_ms, events=event_count).info(
                'event loop was busy'
            )

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        Deferred.fromCoroutine(work).addErrback(self._stop_on_error)

    async def _start_tasks(self) -> None:
        for signum in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signum, self._on_signal)
        signal.signal(signal.SIGHUP, self._on_hangup)
        logger.info('starting')
        for task in self._tasks:
            if self._is_stopping:
                return
            self._running_tasks.append(task)
            await task.start()

    def _on_signal(self, signum: int, frame: Any) -> None:
        self._reactor.callFromThread(self._request_stop)

    def _on_hangup(self, signum: int, frame: Any) -> None:
        self._reactor.callFromThread(self._reload)

    def _reload(self) -> None:
        logger.info('SIGHUP: reading settings again')
        for action in self._on_reload:
            action()

    def _request_stop(self) -> None:
        if not self._is_stopping:
            self._is_stopping = True
            logger.info('asked to stop')
            self._spawn(self._stop_tasks())

    async def _stop_tasks(self) -> None:
        for task in reversed(self._running_tasks):
            await task.stop()
        logger.info('stopped')
        self._reactor.stop()

    def _stop_on_error(self, failure: Any) -> None:
        logger.error('stopping after an error: {0}', failure.getTraceback())
        self._has_failed = True
        self._reactor.stop()
