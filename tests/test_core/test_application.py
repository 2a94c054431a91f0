import pytest

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


def test_a_task_that_fails_to_start_ends_the_process_with_an_error():
    """Guard against a process that runs on, or exits with 0, without a task."""
    reactor = SingleRunReactor()
    application = Application(Config({}), reactor)
    application.add(FailingTask())
    with pytest.raises(SystemExit) as exit_info:
        application.run()
    assert exit_info.value.code == EXIT_FAILURE
    assert reactor.stop_count == 1
