"""Search for the head of another answer among the bytes of a body."""

import re
from collections.abc import Iterable, Sequence

MARK = b'HTTP/'
STATUS_BYTES = len(b'HTTP/1.1 200')
# Longest head, with interim (1xx) heads before it, that is searched for.
MAX_HEAD_BYTES = 32_768
_STATUS_LINE_PARTS = (
    *(b'H', b'T', b'T', b'P', b'/', b'[0-9]', rb'\.', b'[0-9]', b' '),
    *(b'[0-9]', b'[0-9]'),
)
_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]"
# Longer ones are text: each mark in a long line would be searched to its end.
_REASON = rb'[^\n]{0,256}'
# Lines of a head, and lines that continue another one.
_FIELDS = rb'(?:(?:%s+:|[ \t])[^\n]*\n)*' % _TOKEN


def _build_lines_pattern(status: bytes) -> bytes:
    """Return a pattern of a status line and the headers below it."""
    parts = (rb'HTTP/[0-9]\.[0-9] ', status, _REASON, rb'\n', _FIELDS)
    return b''.join(parts)


def _build_start_pattern(parts: Sequence[bytes]) -> bytes:
    """Return a pattern of all beginnings of a sequence of patterns."""
    pattern = b''
    for part in reversed(parts):
        pattern = b'(?:%s%s)?' % (part, pattern)
    return pattern


_INTERIM_HEAD = rb'(?:%s\r?\n)' % _build_lines_pattern(b'1[0-9]{2}')
# More of them are text.
_INTERIM_HEADS = rb'%s{0,3}' % _INTERIM_HEAD
_HEAD = re.compile(
    rb'%s%s\r?\n' % (_INTERIM_HEADS, _build_lines_pattern(b'[2-9][0-9]{2}'))
)
# What may become a head with the bytes that follow.
_HEAD_START = re.compile(
    rb'%s(?:%s|HTTP/[0-9]\.[0-9] [0-9]{3}%s|%s(?:\r|%s))\Z'
    % (
        _INTERIM_HEADS,
        _build_start_pattern(_STATUS_LINE_PARTS),
        _REASON,
        _build_lines_pattern(b'[0-9]{3}'),
        rb'[ \t][^\n]*|%s*(?::[^\n]*)?' % _TOKEN,
    )
)
_FIELD_START = re.compile(rb'%s+:' % _TOKEN)
_INTERIM_HEAD_START = re.compile(_INTERIM_HEAD)


class EmbeddedHeadSearch:
    """
    Searches a body for the head of another answer.

    A body may hold any text, also that of a head; what tells them apart is that
    a target names the request that it answers.

    :param names: ids of the attempts whose answers may follow
    """

    __slots__ = ('_held', '_names', '_sure', 'has_found')

    def __init__(self, names: Iterable[str]) -> None:
        self._names = names
        # Bytes from the first mark on that it is not decided about.
        self._held = b''
        # Bytes that turned out to be part of the body only at its end.
        self._sure = b''
        self.has_found = False

    def feed(self, piece: bytes) -> bytes:
        """Return the bytes that are known to be part of the body."""
        if not self._held and _has_no_mark(piece):
            return piece
        is_in_line = len(self._held) > len(_STATUS_LINE_PARTS)
        self._held += piece
        if is_in_line and b'\n' not in piece:
            if len(self._held) <= MAX_HEAD_BYTES:
                return b''
        return self._take_sure_bytes()

    def take_rest(self) -> bytes:
        """Return the bytes that it is not decided about, and forget them."""
        rest = self._sure + self._held
        self._held = b''
        self._sure = b''
        return rest

    def is_cut(self, status_lines: Iterable[bytes]) -> bool:
        """
        Return whether what was fed last may be the beginning of a head.

        :param status_lines: status lines of the answers whose copy it may be
        """
        self._sure += self._take_sure_bytes()
        held = self._held
        if self.has_found or not held.startswith(MARK):
            return self.has_found
        if self._names_request(held) or _INTERIM_HEAD_START.match(held):
            return True
        first_line, has_more, fields = held.partition(b'\n')
        first_line = first_line.rstrip(b'\r')
        if _FIELD_START.match(fields):
            # A copy may state another reason.
            statuses = {line[:STATUS_BYTES] for line in status_lines}
            return first_line[:STATUS_BYTES] in statuses
        if has_more:
            return first_line in status_lines
        return any(line.startswith(first_line) for line in status_lines)

    def is_continued(self, behind: bytes) -> bool:
        """
        Return whether a head begins in the body and ends behind it.

        :param behind: bytes of the connection behind the body
        """
        self._sure += self._take_sure_bytes()
        if not self._held or not behind or behind.startswith(MARK):
            return False
        text = self._held + behind
        head_end = _find_head_end(text, 0)
        return head_end is None or head_end > len(self._held)

    def _take_sure_bytes(self) -> bytes:
        held = self._held
        sure_bytes = 0
        while sure_bytes < len(held):
            mark = _find_mark(held, sure_bytes)
            head_end = _find_head_end(held, mark)
            if head_end is None:
                sure_bytes = mark
                break
            if head_end > mark and self._names_request(held[mark:head_end]):
                self.has_found = True
                sure_bytes = mark
                break
            sure_bytes = min(mark + len(MARK), len(held))
        self._held = held[sure_bytes:]
        return held[:sure_bytes]

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
    limit = mark + MAX_HEAD_BYTES
    head = _HEAD.match(held, mark, limit)
    if head is not None:
        return head.end()
    may_follow = len(held) <= limit and _HEAD_START.match(held, mark)
    return None if may_follow else mark
