"""Completion requests and answers of the engine stand-in."""

from typing import Any

import msgspec

from cicadahoist.standin.engine_batch import Job, JobState
from cicadahoist.standin.tokens import token_text

DEFAULT_TOKENS = 16
DONE = b'data: [DONE]\n\n'


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a conversation."""

    role: str
    content: str | list[Any] | None = None


class StreamOptions(msgspec.Struct, frozen=True):
    """Options of a streamed answer."""

    include_usage: bool = False


class CompletionBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of a completion or chat completion."""

    model: str
    prompt: str | list[str] = ''
    messages: list[ChatMessage] = []
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None
    resume_from: int = 0
    kv_handle: str = ''

    @property
    def text(self) -> str:
        """The whole prompt as one text."""
        if self.messages:
            return '\n'.join(
                f'{message.role}: {_flat(message.content)}'
                for message in self.messages
            )
        return _flat(self.prompt)

    @property
    def limit(self) -> int:
        """Number of output tokens of the whole answer."""
        return self.max_completion_tokens or self.max_tokens or DEFAULT_TOKENS

    @property
    def wants_usage(self) -> bool:
        """Whether a streamed answer ends with its usage."""
        return bool(self.stream_options and self.stream_options.include_usage)


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """Usage of a whole answer, tokens skipped by resuming included."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int

    @classmethod
    def from_job(cls, job: Job) -> 'Usage':
        """Return the usage of a job so far."""
        return cls(
            prompt_tokens=job.prompt_tokens,
            completion_tokens=job.emitted,
            total_tokens=job.prompt_tokens + job.emitted,
        )


class AnswerForm:
    """
    Turns output tokens into JSON.

    The parts that stay the same are encoded once, since each token of each
    stream passes through here.

    :param attempt: identifier of the answer
    :param body: the request
    :param chat: whether it is a chat completion
    """

    __slots__ = (
        '_chat',
        '_close',
        '_head',
        '_open',
        '_start',
        '_wants_usage',
        '_whole_head',
    )

    def __init__(
        self, attempt: str, body: CompletionBody, *, chat: bool
    ) -> None:
        self._chat = chat
        self._start = body.resume_from
        self._wants_usage = body.wants_usage
        kind = 'chat.completion' if chat else 'text_completion'
        ident = msgspec.json.encode(attempt).decode()
        model = msgspec.json.encode(body.model).decode()
        rest = f'"created":0,"model":{model}'
        self._whole_head = f'"id":{ident},"object":"{kind}",{rest}'
        chunk_kind = f'{kind}.chunk' if chat else kind
        self._head = f'"id":{ident},"object":"{chunk_kind}",{rest}'
        usage = ',"usage":null' if self._wants_usage else ''
        self._open = f'data: {{{self._head}{usage},"token_offset":'
        self._close = '"}' if chat else '"'

    def chunk(self, job: Job) -> bytes:
        """Return the event of the job's latest token."""
        offset = job.emitted - 1
        text = token_text(job.digest, offset)
        opened = '"delta":{"content":"' if self._chat else '"text":"'
        reason = '"length"' if job.state is JobState.finished else 'null'
        return (
            f'{self._open}{offset},"choices":[{{"index":0,{opened}{text}'
            f'{self._close},"finish_reason":{reason}}}]}}\n\n'
        ).encode()

    def end_chunk(self, job: Job) -> bytes:
        """Return the event of an answer that had all tokens already."""
        part = '"delta":{}' if self._chat else '"text":""'
        return (
            f'{self._open}{job.emitted},"tokens":0,"choices":[{{"index":0,'
            f'{part},"finish_reason":"length"}}]}}\n\n'
        ).encode()

    def tail(self, job: Job) -> bytes:
        """Return what follows the last token of a stream."""
        if not self._wants_usage:
            return DONE
        return b'data: {%s,"choices":[],"usage":%s}\n\n%s' % (
            self._head.encode(),
            msgspec.json.encode(Usage.from_job(job)),
            DONE,
        )

    def whole(self, job: Job) -> bytes:
        """Return the JSON of an unstreamed answer."""
        text = ''.join(
            token_text(job.digest, offset)
            for offset in range(self._start, job.emitted)
        )
        part = f'"text":"{text}"'
        if self._chat:
            part = f'"message":{{"role":"assistant","content":"{text}"}}'
        return b'{%s,"choices":[{"index":0,%s,%s}],"usage":%s}' % (
            self._whole_head.encode(),
            part.encode(),
            b'"finish_reason":"length","logprobs":null',
            msgspec.json.encode(Usage.from_job(job)),
        )


def _flat(content: Any) -> str:
    if content is None:
        return ''
    if isinstance(content, str):
        return content
    return msgspec.json.encode(content).decode()
