"""Request and answer bodies of completions at the engine stand-in."""

from typing import Any

import msgspec

from cicadahoist.standin.engine_batch import Job, JobState
from cicadahoist.standin.tokens import token_text

DEFAULT_OUTPUT_TOKENS = 16
DONE_EVENT = b'data: [DONE]\n\n'


class ChatMessage(msgspec.Struct, frozen=True):
    """Message of a chat completion request."""

    role: str
    content: str | list[Any] | None = None


class StreamOptions(msgspec.Struct, frozen=True):
    """Options of a streamed answer."""

    include_usage: bool = False


class CompletionBody(msgspec.Struct, frozen=True, kw_only=True):
    """
    Body of a completion or chat completion request.

    :param resume_from: number of output tokens that the caller already has
    :param kv_handle: handle to an imported KV cache, empty for none
    """

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
    def prompt_text(self) -> str:
        """Prompt or messages as one text."""
        if self.messages:
            return '\n'.join(
                f'{message.role}: {_flatten(message.content)}'
                for message in self.messages
            )
        return _flatten(self.prompt)

    @property
    def max_output_tokens(self) -> int:
        """Output tokens of the whole answer, resumed ones included."""
        return (
            self.max_completion_tokens
            or self.max_tokens
            or DEFAULT_OUTPUT_TOKENS
        )

    @property
    def wants_usage(self) -> bool:
        """Return whether the last event of a stream reports the usage."""
        return bool(self.stream_options and self.stream_options.include_usage)


class Usage(msgspec.Struct, frozen=True, kw_only=True):
    """Token counts of a whole answer, tokens before a resume included."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int

    @classmethod
    def from_job(cls, job: Job) -> 'Usage':
        """Return the usage of a job so far."""
        return cls(
            prompt_tokens=job.prompt_tokens,
            completion_tokens=job.emitted_tokens,
            total_tokens=job.prompt_tokens + job.emitted_tokens,
        )


class AnswerEncoder:
    """
    Encodes output tokens as JSON.

    The constant parts are encoded once per answer, because every token of
    every stream is encoded here.

    :param attempt: identifier of the answer
    :param body: body of the request
    :param chat: whether the request is a chat completion
    """

    __slots__ = (
        '_chunk_fields',
        '_chunk_start',
        '_first_offset',
        '_is_chat',
        '_text_end',
        '_wants_usage',
        '_whole_fields',
    )

    def __init__(
        self, attempt: str, body: CompletionBody, *, chat: bool
    ) -> None:
        self._is_chat = chat
        self._first_offset = body.resume_from
        self._wants_usage = body.wants_usage
        kind = 'chat.completion' if chat else 'text_completion'
        encoded_id = msgspec.json.encode(attempt).decode()
        model = msgspec.json.encode(body.model).decode()
        shared_fields = f'"created":0,"model":{model}'
        self._whole_fields = (
            f'"id":{encoded_id},"object":"{kind}",{shared_fields}'
        )
        chunk_kind = f'{kind}.chunk' if chat else kind
        self._chunk_fields = (
            f'"id":{encoded_id},"object":"{chunk_kind}",{shared_fields}'
        )
        usage = ',"usage":null' if self._wants_usage else ''
        self._chunk_start = (
            f'data: {{{self._chunk_fields}{usage},"token_offset":'
        )
        self._text_end = '"}' if chat else '"'

    def encode_chunk(self, job: Job) -> bytes:
        """Return the stream event for the latest token of a job."""
        offset = job.emitted_tokens - 1
        text = token_text(job.digest, offset)
        text_start = '"delta":{"content":"' if self._is_chat else '"text":"'
        reason = '"length"' if job.state is JobState.finished else 'null'
        return (
            f'{self._chunk_start}{offset},"choices":[{{"index":0,'
            f'{text_start}{text}{self._text_end},'
            f'"finish_reason":{reason}}}]}}\n\n'
        ).encode()

    def encode_empty_chunk(self, job: Job) -> bytes:
        """Return the stream event for a resume with no tokens left."""
        part = '"delta":{}' if self._is_chat else '"text":""'
        return (
            f'{self._chunk_start}{job.emitted_tokens},"tokens":0,'
            f'"choices":[{{"index":0,'
            f'{part},"finish_reason":"length"}}]}}\n\n'
        ).encode()

    def encode_stream_end(self, job: Job) -> bytes:
        """Return the events that follow the last token of a stream."""
        if not self._wants_usage:
            return DONE_EVENT
        return b'data: {%s,"choices":[],"usage":%s}\n\n%s' % (
            self._chunk_fields.encode(),
            msgspec.json.encode(Usage.from_job(job)),
            DONE_EVENT,
        )

    def encode_whole(self, job: Job) -> bytes:
        """Return the JSON body of an answer that is not streamed."""
        text = ''.join(
            token_text(job.digest, offset)
            for offset in range(self._first_offset, job.emitted_tokens)
        )
        part = f'"text":"{text}"'
        if self._is_chat:
            part = f'"message":{{"role":"assistant","content":"{text}"}}'
        return b'{%s,"choices":[{"index":0,%s,%s}],"usage":%s}' % (
            self._whole_fields.encode(),
            part.encode(),
            b'"finish_reason":"length","logprobs":null',
            msgspec.json.encode(Usage.from_job(job)),
        )


def _flatten(content: Any) -> str:
    if content is None:
        return ''
    if isinstance(content, str):
        return content
    return msgspec.json.encode(content).decode()
