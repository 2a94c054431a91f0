import pytest

from cicadahoist.application import EXIT_FAILURE, Application
from cicadahoist.config import Config


class OneTurnReactor:
    """Runs what is called when running, then returns."""

    def __init__(self) -> None:
        self.stopped = 0
        self._calls = []

    def callWhenRunning(self, action, *args) -> None:
        self._calls.append((action, args))

    def run(self, installSignalHandlers) -> None:
        for action, args in self._calls:
            action(*args)

    def stop(self) -> None:
        self.stopped += 1


class FailingTask:
    async def start(self) -> None:
        raise OSError('port is taken')

    async def stop(self) -> None:
        """Nothing was started."""


def test_a_task_that_fails_to_start_ends_the_process_with_an_error():
    reactor = OneTurnReactor()
    application = Application(Config({}), reactor)
    application.add(FailingTask())
    with pytest.raises(SystemExit) as ended:
        application.run()
    assert ended.value.code == EXIT_FAILURE
    assert reactor.stopped == 1
