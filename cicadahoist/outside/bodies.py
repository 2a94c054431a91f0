"""Producers and receivers for the bodies of requests and answers."""

from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.internet.protocol import Protocol
from twisted.web.client import ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from cicadahoist.errors import AnswerTooLongError

# Answers that go to callers, and those of the platform that have no pages.
MAX_BODY_BYTES = 16_777_216
# Pages of the store have about 1 MB, and so has the longest object.
MAX_PAGE_BYTES = 4_194_304
# Answers to orders, and reports; those of engines name each of their runs.
MAX_REPLY_BYTES = 131_072
# An event holds a few tokens.
MAX_EVENT_BYTES = 262_144
FRAMED_ENDS = (ResponseDone,)
UNFRAMED_ENDS = (ResponseDone, PotentialDataLoss)


@implementer(IBodyProducer)
class BytesProducer:
    """
    Writes a complete body in one call.

    The producer that treq creates for bytes needs several reactor iterations.

    :param body: the complete body
    """

    __slots__ = ('_body', 'length')

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> 'Deferred[None]':  # noqa: N802
        """Write the complete body."""
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: the body is already written."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: the body is already written."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the body is already written."""


class BodyCollector(Protocol):
    """
    Collects a body; ``complete_body`` fires at its end.

    :param max_bytes: longest body; a longer one ends with an error at once
    :param accepts_unframed: whether a body with neither a length nor chunks
        ends with its connection; only the content shows whether it is whole
    """

    def __init__(
        self, max_bytes: int, *, accepts_unframed: bool = False
    ) -> None:
        self._max_bytes = max_bytes
        self._end_kinds = UNFRAMED_ENDS if accepts_unframed else FRAMED_ENDS
        self.complete_body: Deferred[bytes] = Deferred(self._close)
        self._chunks: list[bytes] = []
        self._size_bytes = 0

    def dataReceived(self, chunk: bytes) -> None:  # noqa: N802
        """Store a chunk of the body."""
        if self.complete_body.called:
            return
        self._size_bytes += len(chunk)
        if self._size_bytes <= self._max_bytes:
            self._chunks.append(chunk)
            return
        self._chunks.clear()
        self.complete_body.errback(
            AnswerTooLongError(
                f'answer of more than {self._max_bytes} bytes',
                remedy='see why the target sends bytes without end',
            )
        )
        self._close(self.complete_body)

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Fire ``complete_body``, with an error if the body ended early."""
        if self.complete_body.called:
            return
        if reason.check(*self._end_kinds):
            self.complete_body.callback(b''.join(self._chunks))
        else:
            self.complete_body.errback(reason)

    def _close(self, cancelled: Any) -> None:
        transport: Any = self.transport
        transport.stopProducing()


class ClosingReceiver(Protocol):
    """Closes the connection of an answer whose body is not needed."""

    def connectionMade(self) -> None:  # noqa: N802
        """Close the connection."""
        transport: Any = self.transport
        transport.loseConnection()
