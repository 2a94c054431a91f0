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

    The end of a body is not known where nothing but a close states it, nor
    where a target has broken off and goes on with its next answer. A body may
    hold any text, also that of a head; what tells them apart is that a target
    names the request that it answers.

    :param names: ids of the attempts whose answers may follow
    :param status_line: status line of the answer itself; a body may not end
        within a head that begins with it. None if it may end in no head at all
    """

    __slots__ = ('_held', '_name_line', '_status_line', 'has_found')

    def __init__(
        self, names: Iterable[str], status_line: bytes | None = None
    ) -> None:
        patterns = [re.escape(name.encode('latin-1')) for name in names if name]
        self._name_line: re.Pattern[bytes] | None = None
        if patterns:
            self._name_line = re.compile(
                rb':[ \t]*(?:%s)[ \t]*\r?(?:\n|$)' % b'|'.join(patterns)
            )
        self._status_line = status_line
        # Bytes from the first mark on that it is not decided about.
        self._held = b''
        self.has_found = False

    def feed(self, piece: bytes) -> bytes:
        """Return the bytes that are known to be part of the body."""
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

    def end(self) -> bytes:
        """Return the rest of the body; it may end within a head, however."""
        held = self._held
        self._held = b''
        self.has_found = self.has_found or self._may_be_cut_head(held)
        return b'' if self.has_found else held

    def _names_request(self, head: bytes) -> bool:
        return bool(self._name_line and self._name_line.search(head))

    def _may_be_cut_head(self, held: bytes) -> bool:
        if not held.startswith(MARK):
            return False
        if self._names_request(held) or self._status_line is None:
            return True
        first_line, has_more, _ = held.partition(b'\n')
        if has_more:
            return first_line.rstrip(b'\r') == self._status_line
        return self._status_line.startswith(first_line.rstrip(b'\r'))


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
