"""Reads the answer to one request; decides where it begins and ends."""

from collections.abc import Callable
from typing import Any

import h11

from cicadahoist.policy.answer_bounds.joined_heads import is_joined_head
from cicadahoist.requests import HeaderList
from cicadahoist.serving.answers.body import (
    ODDLY_FRAMED_METHODS,
    AnswerBody,
    ClosedBody,
    SkippedBody,
    StatedBody,
    build_status_line,
    is_end_doubtful,
    is_end_stated,
)
from cicadahoist.serving.answers.endings import (
    AnswerEnding,
    AnswerLoss,
    Receiver,
)
from cicadahoist.serving.answers.overhead import AnswerOverhead

# RFC 9110, section 15; h11 takes any number of three digits from 200.
MAX_STATUS = 599


class AnswerReader:
    """
    Reads the bytes that follow one request on its connection.

    No other part of the data path decides which of these bytes answer the
    request. Answers that the receiver takes for others are skipped.

    :param request: the head of the request
    :param name: id of the attempt, which its answer states
    :param carried: status lines of the answers on the connection, by the ids of
        their attempts; gets that of this answer
    :param receiver: receives the answer
    :param on_end: called before the receiver learns the end, with whether the
        connection can carry another request
    """

    __slots__ = (
        '_body',
        '_carried',
        '_ending',
        '_http',
        '_is_spent',
        '_name',
        '_on_end',
        '_overhead',
        '_receiver',
        '_request',
        '_unsearched',
    )

    def __init__(
        self,
        request: h11.Request,
        name: str,
        carried: dict[str, bytes],
        receiver: Receiver,
        on_end: Callable[[bool], None],
    ) -> None:
        self._request = request
        self._name = name
        self._carried = carried
        carried[name] = b''
        self._receiver: Receiver | None = receiver
        self._on_end = on_end
        self._http = h11.Connection(h11.CLIENT)
        self._ending = AnswerEnding.stated
        # Body that the next bytes belong to, none before its head.
        self._body: AnswerBody | None = None
        # Whether late bytes of this answer or another one may still come.
        self._is_spent = request.method in ODDLY_FRAMED_METHODS
        self._overhead = AnswerOverhead()
        # Bytes behind the head of a skipped answer that were not searched yet.
        self._unsearched = b''

    def encode_request(self, body: bytes) -> tuple[bytes, bytes]:
        """Return the head and the body of the request as they are sent."""
        head = self._http.send(self._request) or b''
        framed_body = b''
        if body:
            framed_body = self._http.send(h11.Data(data=body)) or b''
        self._http.send(h11.EndOfMessage())
        return head, framed_body

    def read(self, received: bytes) -> None:
        """Process bytes of the connection."""
        self._overhead.record_received(len(received))
        self._unsearched += received
        self._parse(received, AnswerLoss.malformed)
        self._search_skipped(len(self._unsearched))
        if self._receiver is not None and self._overhead.is_too_long:
            self.lose(AnswerLoss.too_long)

    def read_close(self) -> None:
        """Process a clean close, which ends an answer without a length."""
        self._ending = AnswerEnding.closed
        self._parse(b'', AnswerLoss.closed)
        self.lose(AnswerLoss.closed)

    def lose(self, cause: AnswerLoss) -> None:
        """Report that the rest of the answer is lost, unless it has ended."""
        receiver = self._receiver
        if receiver is not None:
            self._receiver = None
            self._on_end(False)
            receiver.answer_lost(cause)

    def cancel(self) -> None:
        """Report nothing any more."""
        self._receiver = None

    def _parse(self, received: bytes, loss: AnswerLoss) -> None:
        """
        Parse bytes, none for the end of the connection.

        :param loss: what bytes that are no HTTP mean
        """
        try:
            self._http.receive_data(received)
            self._read_events()
        except h11.RemoteProtocolError:
            self.lose(loss)

    def _read_events(self) -> None:
        while self._receiver is not None:
            event: Any = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.ConnectionClosed):
                self.lose(AnswerLoss.closed)
                return
            is_skipped = self._body is not None and self._body.is_skipped
            self._overhead.record_event(event, is_skipped=is_skipped)
            process = _PROCESSORS.get(event.__class__)
            if _is_joined(event):
                self.lose(AnswerLoss.joined)
            elif process is not None:
                process(self, event)

    def _process_head(self, response: h11.Response) -> None:
        if response.status_code > MAX_STATUS:
            self.lose(AnswerLoss.malformed)
            return
        if self._receiver is None:
            return
        headers = _list_headers(response)
        is_doubtful = is_end_doubtful(self._request, response)
        is_stated = is_end_stated(self._request, response)
        if self._receiver.head_received(response.status_code, headers):
            self._is_spent = self._is_spent or is_doubtful
            self._begin_body(response, is_stated=is_stated)
            return
        self._body = SkippedBody(self._name)
        self._unsearched = self._http.trailing_data[0]
        if is_doubtful or not is_stated:
            # It is not known where the answer that is awaited begins.
            self.lose(AnswerLoss.foreign)

    def _begin_body(self, response: h11.Response, *, is_stated: bool) -> None:
        self._carried[self._name] = build_status_line(response)
        if is_stated:
            self._body = StatedBody(self._carried)
        else:
            self._body = ClosedBody(self._carried)

    def _process_piece(self, event: h11.Data) -> None:
        if self._body is not None and not self._body.is_skipped:
            self._deliver(self._body.feed(bytes(event.data)), self._body)

    def _process_end(self, event: h11.EndOfMessage) -> None:
        body = self._body
        if body is None:
            return
        behind = self._http.trailing_data[0]
        self._search_skipped(len(self._unsearched) - len(behind))
        self._deliver(body.end(behind), body)
        if self._receiver is None:
            return
        if body.is_skipped:
            self._read_next_answer()
        else:
            self._end_answer(self._receiver)

    def _search_skipped(self, size: int) -> None:
        """
        Search bytes of a skipped answer, with their framing.

        Its framing may have taken the head of the next answer as well.
        """
        piece = self._unsearched[:size]
        self._unsearched = b''
        if piece and self._body is not None and self._body.is_skipped:
            self._deliver(self._body.feed(piece), self._body)

    def _deliver(self, piece: bytes, body: AnswerBody) -> None:
        """Pass a piece on; lose the rest where another answer begins."""
        if piece and self._receiver is not None:
            self._receiver.body_received(piece)
        if body.is_joined:
            self.lose(AnswerLoss.joined)

    def _end_answer(self, receiver: Receiver) -> None:
        self._receiver = None
        self._on_end(not self._is_spent and _is_quiet(self._http))
        receiver.answer_ended(self._ending)

    def _read_next_answer(self) -> None:
        """Continue after the skipped late answer to an earlier request."""
        rest, _ = self._http.trailing_data
        self._http = h11.Connection(h11.CLIENT)
        self._body = None
        self._is_spent = True
        length = dict(self._request.headers).get(b'content-length', b'0')
        self.encode_request(bytes(int(length)))
        if rest:
            # h11 takes an empty piece for the end of the connection.
            self._http.receive_data(rest)


_PROCESSORS: dict[type, Callable[[AnswerReader, Any], None]] = {
    h11.Response: AnswerReader._process_head,
    h11.Data: AnswerReader._process_piece,
    h11.EndOfMessage: AnswerReader._process_end,
}


def _is_joined(event: Any) -> bool:
    """Return whether a head, or the trailers of an answer, were made of two."""
    if isinstance(event, h11.EndOfMessage):
        return is_joined_head(_list_headers(event))
    is_head = isinstance(event, h11.InformationalResponse | h11.Response)
    return is_head and is_joined_head(_list_headers(event), event.reason)


def _list_headers(event: Any) -> HeaderList:
    return [(bytes(name), bytes(text)) for name, text in event.headers]


def _is_quiet(http: h11.Connection) -> bool:
    """Return whether an answer has ended, and nothing has come behind it."""
    is_done = (http.our_state, http.their_state) == (h11.DONE, h11.DONE)
    return is_done and not http.trailing_data[0]
