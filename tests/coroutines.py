"""Runs coroutines step by step on a manual clock."""

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure


class Pending:
    """A started coroutine and its result or failure."""

    def __init__(self, coroutine):
        self.ended = []
        self.deferred = Deferred.fromCoroutine(coroutine)
        self.deferred.addBoth(self.ended.append)

    @property
    def is_done(self):
        return bool(self.ended)

    def result(self):
        assert self.ended, 'still waiting'
        if isinstance(self.ended[0], Failure):
            self.ended[0].raiseException()
        return self.ended[0]


def result_of(coroutine):
    """Return the result of a coroutine that completes without waiting."""
    return Pending(coroutine).result()
