"""Open answer of the engine stand-in."""

from typing import Any

from twisted.internet.defer import Deferred

from cicadahoist.standin.engine_answers import AnswerEncoder
from cicadahoist.standin.engine_batch import Job, JobState
from cicadahoist.standin.engine_frames import FrameFault
from cicadahoist.standin.web import abort


class OpenAnswer:
    """
    Writes the output tokens of a job to the caller.

    :param request: the HTTP request
    :param encoder: encodes tokens as JSON
    :param streamed: whether each token is written immediately
    :param cut_after: number of tokens after which the answer breaks off, 0 for
        never
    :param is_torn: whether it then ends in due form inside an event instead of
        with an aborted connection
    :param frame_fault: fault applied to each event of a stream
    """

    __slots__ = (
        '_encoder',
        '_event_count',
        '_frame_fault',
        '_is_torn',
        '_previous_event',
        '_request',
        '_streamed',
        '_tokens_until_cut',
        'done',
    )

    def __init__(
        self,
        request: Any,
        encoder: AnswerEncoder,
        *,
        streamed: bool,
        cut_after: int = 0,
        is_torn: bool = False,
        frame_fault: FrameFault | None = None,
    ) -> None:
        self._previous_event = b''
        self._event_count = 0
        self._frame_fault = frame_fault
        self._request = request
        self._encoder = encoder
        self._streamed = streamed
        self._tokens_until_cut = cut_after
        self._is_torn = is_torn
        self.done: Deferred[bytes] = Deferred(lambda _: None)
        kind = 'text/event-stream' if streamed else 'application/json'
        request.setHeader('Content-Type', kind)
        if streamed:
            # Sends the headers before the first token is available.
            request.write(b'')

    def emit(self, job: Job) -> None:
        """Write the latest token of a job, and the end after the last one."""
        if self.done.called:
            return
        if self._streamed:
            self._request.write(
                self._apply_frame_fault(self._encoder.encode_chunk(job))
            )
        if job.state is JobState.finished:
            self.finish(job)
        elif self._tokens_until_cut:
            self._tokens_until_cut -= 1
            if not self._tokens_until_cut:
                self._break_off(job)

    def finish_without_tokens(self, job: Job) -> None:
        """Finish an answer whose tokens the caller already has."""
        if self._streamed:
            self._request.write(self._encoder.encode_empty_chunk(job))
        self.finish(job)

    def finish(self, job: Job) -> None:
        """Finish the answer after its last token."""
        end = (
            self._encoder.encode_stream_end
            if self._streamed
            else self._encoder.encode_whole
        )
        self.done.callback(end(job))

    def _apply_frame_fault(self, event: bytes) -> bytes:
        if self._frame_fault is None:
            return event
        self._event_count += 1
        written = self._frame_fault(
            self._previous_event, self._event_count, event
        )
        self._previous_event = event
        return written

    def _break_off(self, job: Job) -> None:
        if self._is_torn:
            event = self._encoder.encode_chunk(job)
            self._request.write(event[: len(event) // 2])
            self._request.finish()
        else:
            self.cut()

    def cut(self) -> None:
        """Abort the connection without the end of the answer."""
        abort(self._request)
