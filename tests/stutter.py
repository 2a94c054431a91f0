"""A worker that answers twice, with the second answer where the next is due."""

import re

from twisted.internet.protocol import Factory, Protocol

BODY_LENGTH = re.compile(rb'\r\ncontent-length: (\d+)\r\n', re.IGNORECASE)
END_OF_HEAD = b'\r\n\r\n'


class StutteringServer(Factory):
    """
    Sends a copy of each answer before the next answer of its connection.

    :param answer: returns the answer to a request, both in bytes
    :param copied: bytes of each copy that are sent, none for all
    :param sent_at_once: bytes of the copy that are sent with the answer itself
    """

    noisy = False

    def __init__(self, answer, copied=None, sent_at_once=0) -> None:
        self.answer = answer
        self.copied = copied
        self.sent_at_once = sent_at_once
        self.connections = []
        self.requests = []

    def buildProtocol(self, addr):
        built = StutteringProtocol()
        built.factory = self
        return built


class StutteringProtocol(Protocol):
    def connectionMade(self) -> None:
        self.factory.connections.append(self)
        self._request = b''
        self._copy = b''

    def dataReceived(self, received) -> None:
        self._request += received
        if not is_whole(self._request):
            return
        request, self._request = self._request, b''
        self.factory.requests.append(request)
        answer = self.factory.answer(request)
        copy = answer[: self.factory.copied]
        at_once = self.factory.sent_at_once
        self.transport.write(self._copy + answer + copy[:at_once])
        self._copy = copy[at_once:]

    def connectionLost(self, reason) -> None:
        self.factory.connections.remove(self)


def is_whole(request) -> bool:
    head, end, body = request.partition(END_OF_HEAD)
    length = BODY_LENGTH.search(head + END_OF_HEAD)
    return bool(end) and len(body) >= (int(length.group(1)) if length else 0)


def build_answer(status, body=b'') -> bytes:
    """Return an answer with a length."""
    return b'HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%b' % (
        status,
        len(body),
        body,
    )
