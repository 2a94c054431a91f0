"""Search for the head of another answer among the bytes of a body."""

import re
from collections.abc import Iterable

MARK = b'HTTP/'
# Bytes of a mark that are more than chance at the end of a body.
MIN_STATUS_LINE_BYTES = len(b'HTTP/1.1 200')
# Longest head that is searched for; h11 takes none that is longer.
MAX_HEAD_BYTES = 16_384
_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]"
_LINES = rb'HTTP/[0-9]\.[0-9] [0-9]{3}[^\n]*\n(?:%s+:[^\n]*\n)*' % _TOKEN
_HEAD = re.compile(rb'%s\r?\n' % _LINES)
# What may become a head with the bytes that follow.
_HEAD_START = re.compile(
    rb'(?:HTTP/[0-9]\.[0-9] [0-9]{3}[^\n]*|%s(?:\r|%s*(?::[^\n]*)?))\Z'
    % (_LINES, _TOKEN)
)


class EmbeddedHeadSearch:
    """
    Searches a body for the head of another answer.

    A body may hold any text, also that of a head; what tells them apart is that
    a target names the request that it answers.

    :param names: ids of the attempts whose answers may follow
    """

    __slots__ = ('_held', '_names', 'has_found')

    def __init__(self, names: Iterable[str]) -> None:
        self._names = names
        # Bytes from the first mark on that it is not decided about.
        self._held = b''
        self.has_found = False

    def feed(self, piece: bytes) -> bytes:
        """Return the bytes that are known to be part of the body."""
        if not self._held and _has_no_mark(piece):
            return piece
        held = self._held + piece
        sure_bytes = 0
        while sure_bytes < len(held):
            mark = _find_mark(held, sure_bytes)
            head_end = _find_head_end(held, mark)
            if head_end is None:
                sure_bytes = mark
                break
            if self._names_request(held[mark:head_end]):
                self.has_found = True
                sure_bytes = mark
                break
            sure_bytes = min(mark + len(MARK), len(held))
        self._held = held[sure_bytes:]
        return held[:sure_bytes]

    def take_rest(self) -> bytes:
        """Return the bytes that it is not decided about, and forget them."""
        rest = self._held
        self._held = b''
        return rest

    def is_cut(self, status_line: bytes) -> bool:
        """
        Return whether what was fed last may be the beginning of a head.

        :param status_line: status line of the answer whose copy it may be
        """
        held = self._held
        if not held.startswith(MARK):
            return False
        first_line, has_more, _ = held.partition(b'\n')
        first_line = first_line.rstrip(b'\r')
        if self._names_request(held):
            return True
        if has_more:
            return first_line == status_line
        return status_line.startswith(first_line)

    def is_continued(self, behind: bytes) -> bool:
        """
        Return whether a head begins in the body and ends behind it.

        :param behind: bytes of the connection behind the body
        """
        if not self._held or not behind or behind.startswith(MARK):
            return False
        text = self._held + behind
        head_end = _find_head_end(text, 0)
        return head_end is None or head_end > len(self._held)

    def _names_request(self, head: bytes) -> bool:
        lines = head.split(b'\n')[1:]
        texts = {line.partition(b':')[2].strip() for line in lines}
        return any(
            name.encode('latin-1') in texts for name in self._names if name
        )


def _has_no_mark(piece: bytes) -> bool:
    """Return whether no mark is in a piece, nor may begin at its end."""
    return MARK not in piece and MARK[:1] not in piece[1 - len(MARK) :]


def _find_mark(held: bytes, start: int) -> int:
    """Return where a mark, or the beginning of one at the end, begins."""
    mark = held.find(MARK, start)
    if mark >= 0:
        return mark
    tail = held[max(start, len(held) - len(MARK) + 1) :]
    sizes = range(len(tail), 0, -1)
    cut_bytes = next((size for size in sizes if _is_cut(tail[-size:])), 0)
    return len(held) - cut_bytes


def _is_cut(tail: bytes) -> bool:
    return MARK.startswith(tail)


def _find_head_end(held: bytes, mark: int) -> int | None:
    """
    Return the end of the head that begins at a mark.

    :return: the mark itself if no head begins there, none while that is not
        known
    """
    if 0 < len(held) - mark < MIN_STATUS_LINE_BYTES:
        return None
    limit = mark + MAX_HEAD_BYTES
    head = _HEAD.match(held, mark, limit)
    if head is not None:
        return head.end()
    may_follow = len(held) <= limit and _HEAD_START.match(held, mark)
    return None if may_follow else mark
