"""Sends the bodies of requests without a copy in the buffer of the socket."""

from typing import Any

from twisted.internet.interfaces import IPullProducer
from zope.interface import implementer

from cicadahoist.requests import BodyHold

# Bodies up to this length are written at once, longer ones in such pieces.
PIECE_BYTES = 65_536


@implementer(IPullProducer)
class BodySender:
    """
    Writes the body of one request as its connection takes it.

    :param transport: the connection
    :param body: the body as it is framed
    :param hold: the memory for the body, released at the end; none if it is
        not counted
    """

    __slots__ = ('_body', '_hold', '_offset', '_transport', 'is_over')

    def __init__(
        self, transport: Any, body: bytes, hold: BodyHold | None
    ) -> None:
        self._transport = transport
        self._body = body
        self._hold = hold
        self._offset = 0
        self.is_over = False

    @property
    def unwritten_bytes(self) -> int:
        """Bytes of a long body that the connection has not taken yet."""
        return len(self._body) - self._offset

    def start(self, head: bytes) -> None:
        """
        Write the request, a long body as the connection takes it.

        :param head: head of the request
        """
        if len(self._body) <= PIECE_BYTES:
            self._transport.write(head + self._body)
            self.stopProducing()
            return
        self._transport.write(head)
        self._transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """Write the next piece."""
        piece = self._body[self._offset : self._offset + PIECE_BYTES]
        self._offset += len(piece)
        self._transport.write(piece)
        if self._offset == len(self._body):
            self._transport.unregisterProducer()
            self.stopProducing()

    def stopProducing(self) -> None:
        """Drop the body, as it is sent or its connection has ended."""
        self.is_over = True
        self._body = b''
        self._offset = 0
        if self._hold is not None:
            self._hold.release()
            self._hold = None
