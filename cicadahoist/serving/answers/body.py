"""Bodies of answers, as far as their bytes are known to belong to them."""

from collections.abc import Mapping
from typing import Protocol

import h11

from cicadahoist.policy.answer_bounds.embedded_heads import EmbeddedHeadSearch
from cicadahoist.requests import may_have_body

# Their answers have no body, whatever their headers state.
ODDLY_FRAMED_METHODS = frozenset((b'HEAD', b'CONNECT'))
# A copy that fills an answer up is held up to this length.
MAX_HELD_BYTES = 262_144
FRAMING_HEADERS = frozenset((b'content-length', b'transfer-encoding'))


class AnswerBody(Protocol):
    """The body of one answer."""

    is_skipped: bool
    # Whether bytes of another answer are among its own.
    is_joined: bool

    def feed(self, piece: bytes) -> bytes:
        """Return the bytes that can be passed on."""

    def end(self, behind: bytes) -> bytes:
        """
        Return the rest that can be passed on.

        :param behind: bytes of the connection behind the body
        """


class StatedBody:
    """
    The body of the answer that is awaited, with a length or in chunks.

    A target that truncates it and answers once more fills it up with a copy,
    which then also has bytes behind it.

    :param carried: status lines of the answers on the connection, by the ids of
        their attempts
    """

    __slots__ = ('_held', '_search', 'is_joined')

    is_skipped = False

    def __init__(self, carried: Mapping[str, bytes]) -> None:
        self._search = EmbeddedHeadSearch(carried)
        # Bytes from the head of another answer on.
        self._held = bytearray()
        self.is_joined = False

    def feed(self, piece: bytes) -> bytes:
        """Return the bytes that are not held."""
        if self._search.has_found:
            self._held += piece
            self.is_joined = len(self._held) > MAX_HELD_BYTES
            return b''
        return self._search.feed(piece)

    def end(self, behind: bytes) -> bytes:
        """Return the bytes that are held, unless they are those of a copy."""
        is_continued = self._search.is_continued(behind)
        has_head = self._search.has_found or is_continued
        self.is_joined = bool(behind) and has_head
        rest = self._search.take_rest() + bytes(self._held)
        return b'' if self.is_joined else rest


class ClosedBody:
    """
    The body of the answer that is awaited, which ends with its connection.

    A copy of an answer would count as the end of it.

    :param carried: status lines of the answers on the connection, by the ids of
        their attempts
    """

    __slots__ = ('_carried', '_search', 'is_joined')

    is_skipped = False

    def __init__(self, carried: Mapping[str, bytes]) -> None:
        self._search = EmbeddedHeadSearch(carried)
        self._carried = carried
        self.is_joined = False

    def feed(self, piece: bytes) -> bytes:
        """Return the bytes that are not held."""
        passed = self._search.feed(piece)
        self.is_joined = self._search.has_found
        return passed

    def end(self, behind: bytes) -> bytes:
        """Return the bytes that are held, unless they may begin a head."""
        self.is_joined = self._search.is_cut(self._carried.values())
        return b'' if self.is_joined else self._search.take_rest()


class SkippedBody:
    """
    The body of an answer to another request, as it is framed.

    Where its target has broken off, it takes the head of the next answer.

    :param name: id of the attempt that waits
    """

    __slots__ = ('_search', 'is_joined')

    is_skipped = True

    def __init__(self, name: str) -> None:
        self._search = EmbeddedHeadSearch((name,))
        self.is_joined = False

    def feed(self, piece: bytes) -> bytes:
        """Return nothing."""
        self._search.feed(piece)
        self.is_joined = self._search.has_found
        return b''

    def end(self, behind: bytes) -> bytes:
        """Return nothing."""
        self.is_joined = self._search.is_continued(behind)
        return b''


def is_end_stated(request: h11.Request, response: h11.Response) -> bool:
    """Return whether an answer ends otherwise than with its connection."""
    if not _may_have_body(request, response):
        return True
    return any(name in FRAMING_HEADERS for name, _ in response.headers)


def is_end_doubtful(request: h11.Request, response: h11.Response) -> bool:
    """
    Return whether a target may take an answer to end elsewhere.

    It states both a length and chunks, or a body where there can be none.
    """
    by_name = dict(response.headers)
    stated_names = FRAMING_HEADERS.intersection(by_name)
    if _may_have_body(request, response):
        return stated_names == FRAMING_HEADERS
    return bool(stated_names) and by_name.get(b'content-length') != b'0'


def _may_have_body(request: h11.Request, response: h11.Response) -> bool:
    is_bodiless = request.method in ODDLY_FRAMED_METHODS
    return not is_bodiless and may_have_body(
        request.method, response.status_code
    )


def build_status_line(response: h11.Response) -> bytes:
    """Return the status line of an answer, as targets write it."""
    version = b'HTTP/%s' % response.http_version
    parts = (version, b'%d' % response.status_code, response.reason)
    return b' '.join(parts).strip()
