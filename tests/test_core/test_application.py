import time

import pytest
from twisted.internet.base import ReactorBase
from twisted.internet.defer import Deferred
from twisted.internet.selectreactor import SelectReactor

from cicadahoist.application import EXIT_FAILURE, Application
from cicadahoist.config import Config


class SingleRunReactor:
    """Runs the calls scheduled by ``callWhenRunning`` once, then returns."""

    def __init__(self) -> None:
        self.stop_count = 0
        self._scheduled_calls = []

    def callWhenRunning(self, action, *args) -> None:
        self._scheduled_calls.append((action, args))

    def run(self, installSignalHandlers) -> None:
        for action, args in self._scheduled_calls:
            action(*args)

    def stop(self) -> None:
        self.stop_count += 1


class FailingTask:
    async def start(self) -> None:
        raise OSError('port is taken')

    async def stop(self) -> None:
        """Release nothing, as the task never started."""


class SlowTask:
    """Starts once a test lets it, and notes its start and stop."""

    def __init__(self, events, name) -> None:
        self.start_ended = Deferred()
        self._events = events
        self._name = name

    async def start(self) -> None:
        self._events.append(f'start {self._name}')
        await self.start_ended

    async def stop(self) -> None:
        self._events.append(f'stop {self._name}')


def test_tasks_that_have_not_begun_to_start_are_not_stopped():
    """Guard against errors on a signal that comes while a start waits."""
    reactor = SingleRunReactor()
    application = Application(Config({}), reactor)
    events = []
    slow = SlowTask(events, 'a')
    application.add(slow)
    application.add(SlowTask(events, 'b'))
    application.run()
    application._request_stop()
    slow.start_ended.callback(None)
    assert events == ['start a', 'stop a']
    assert reactor.stop_count == 1


def test_a_task_that_fails_to_start_ends_the_process_with_an_error():
    """Guard against a process that runs on, or exits with 0, without a task."""
    reactor = SingleRunReactor()
    application = Application(Config({}), reactor)
    application.add(FailingTask())
    with pytest.raises(SystemExit) as exit_info:
        application.run()
    assert exit_info.value.code == EXIT_FAILURE
    assert reactor.stop_count == 1


# Guards against a time limit that a step of the wall clock puts off: an order
# waits for its connection, and is sent after the term of its lease (ONE).
@pytest.mark.parametrize('step_s', [-5, 0, 5])
def test_timers_do_not_follow_steps_of_the_wall_clock(monkeypatch, step_s):
    times_s = {time.CLOCK_BOOTTIME: 70, time.CLOCK_REALTIME: 1_700_000_000}
    monkeypatch.setattr(
        ReactorBase, 'seconds', lambda _: times_s[time.CLOCK_REALTIME]
    )
    monkeypatch.setattr(
        time, 'clock_gettime_ns', lambda kind: times_s[kind] * 1_000_000_000
    )
    monkeypatch.setattr(
        'cicadahoist.application.configure_logging', lambda *_: None
    )
    reactor = SelectReactor()
    monkeypatch.setattr('twisted.internet.reactor', reactor, raising=False)
    application = Application.from_config(Config({}))
    fired_s = []
    application.clock.call_later(
        3000, lambda: fired_s.append(times_s[time.CLOCK_BOOTTIME])
    )
    times_s[time.CLOCK_REALTIME] += step_s
    for _ in range(4):
        reactor.runUntilCurrent()
        for kind in times_s:
            times_s[kind] += 1
    assert fired_s == [73]
