"""The body of one answer, as far as its bytes are known to belong to it."""

import h11

from cicadahoist.policy.answer_bounds.embedded_heads import EmbeddedHeadSearch

# RFC 9112, section 6.3.
BODILESS_STATUSES = frozenset((204, 304))
# Their answers have no body, whatever their headers state.
ODDLY_FRAMED_METHODS = frozenset((b'HEAD', b'CONNECT'))
FRAMING_HEADERS = frozenset((b'content-length', b'transfer-encoding'))


class AnswerBody:
    """
    The body of one answer.

    :param is_skipped: whether it answers another request
    :param is_end_stated: whether it ends otherwise than with its connection
    :param search: search for the head of another answer; none where the framing
        tells the bytes apart
    """

    __slots__ = ('_search', 'is_end_stated', 'is_skipped')

    def __init__(
        self,
        *,
        is_skipped: bool,
        is_end_stated: bool,
        search: EmbeddedHeadSearch | None,
    ) -> None:
        self._search = search
        self.is_skipped = is_skipped
        self.is_end_stated = is_end_stated

    @classmethod
    def from_head(
        cls,
        request: h11.Request,
        response: h11.Response,
        names: tuple[str, ...],
        *,
        is_skipped: bool,
    ) -> 'AnswerBody':
        """
        Return the body that follows a head.

        :param request: head of the request that waits
        :param response: head of the answer
        :param names: id of the attempt that waits, and those of attempts before
            it on the connection
        :param is_skipped: whether it answers another request
        """
        is_end_stated = _is_end_stated(request, response)
        search: EmbeddedHeadSearch | None = None
        if is_skipped:
            # A target that has broken off here goes on with the next answer.
            search = EmbeddedHeadSearch(names[:1])
        elif not is_end_stated:
            search = EmbeddedHeadSearch(names, _build_status_line(response))
        return cls(
            is_skipped=is_skipped, is_end_stated=is_end_stated, search=search
        )

    @property
    def is_joined(self) -> bool:
        """Whether it holds the beginning of another answer."""
        return self._search is not None and self._search.has_found

    def feed(self, piece: bytes) -> bytes:
        """Return the bytes that can be passed on."""
        if self._search is not None:
            piece = self._search.feed(piece)
        return b'' if self.is_skipped else piece

    def end(self) -> bytes:
        """Return the rest that can be passed on."""
        rest = b'' if self._search is None else self._search.end()
        return b'' if self.is_skipped else rest


def _is_end_stated(request: h11.Request, response: h11.Response) -> bool:
    is_bodiless = response.status_code in BODILESS_STATUSES
    if is_bodiless or request.method in ODDLY_FRAMED_METHODS:
        return True
    return any(name in FRAMING_HEADERS for name, _ in response.headers)


def _build_status_line(response: h11.Response) -> bytes:
    version = b'HTTP/%s' % response.http_version
    parts = (version, b'%d' % response.status_code, response.reason)
    return b' '.join(parts).strip()
