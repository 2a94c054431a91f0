"""One open answer of the engine stand-in."""

from typing import Any

from twisted.internet.defer import Deferred

from cicadahoist.standin.engine_answers import AnswerForm
from cicadahoist.standin.engine_batch import Job, JobState
from cicadahoist.standin.engine_frames import FrameFault
from cicadahoist.standin.web import abort


class OpenAnswer:
    """
    Writes output tokens to a caller.

    :param request: the HTTP request
    :param form: turns tokens into JSON
    :param streamed: whether each token is written at once
    :param cut_after: number of tokens after which the connection is closed,
        0 for never
    :param frame_fault: what goes wrong with single events
    """

    __slots__ = (
        '_before',
        '_cut_left',
        '_form',
        '_frame_fault',
        '_number',
        '_request',
        '_streamed',
        'done',
    )

    def __init__(
        self,
        request: Any,
        form: AnswerForm,
        *,
        streamed: bool,
        cut_after: int = 0,
        frame_fault: FrameFault | None = None,
    ) -> None:
        self._before = b''
        self._number = 0
        self._frame_fault = frame_fault
        self._request = request
        self._form = form
        self._streamed = streamed
        self._cut_left = cut_after
        self.done: Deferred[bytes] = Deferred(lambda _: None)
        kind = 'text/event-stream' if streamed else 'application/json'
        request.setHeader('Content-Type', kind)
        if streamed:
            # Sends the headers before the first token is there.
            request.write(b'')

    def emit(self, job: Job) -> None:
        """Write the job's latest token, and the end after the last one."""
        if self.done.called:
            return
        if self._streamed:
            self._request.write(self._framed(self._form.chunk(job)))
        if job.state is JobState.finished:
            self.finish(job)
        elif self._cut_left:
            self._cut_left -= 1
            if not self._cut_left:
                self.cut()

    def finish_at_once(self, job: Job) -> None:
        """End an answer of which the caller has all tokens."""
        if self._streamed:
            self._request.write(self._form.end_chunk(job))
        self.finish(job)

    def finish(self, job: Job) -> None:
        """Write what follows the last token."""
        end = self._form.tail if self._streamed else self._form.whole
        self.done.callback(end(job))

    def _framed(self, event: bytes) -> bytes:
        if self._frame_fault is None:
            return event
        self._number += 1
        framed = self._frame_fault(self._before, self._number, event)
        self._before = event
        return framed

    def cut(self) -> None:
        """Close the connection without an end."""
        abort(self._request)
