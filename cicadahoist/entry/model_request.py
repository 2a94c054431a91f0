"""Requests of the OpenAI-compatible model interface."""

from typing import Any

import msgspec

from cicadahoist.entry.prompt_text import join_prompt_text
from cicadahoist.entry.refusal import RequestRefusedError
from cicadahoist.policy.prefix import hash_blocks
from cicadahoist.reasons import Refusal

BYTES_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 512


class StreamOptions(msgspec.Struct):
    """Options of a streamed answer."""

    include_usage: bool = False


class ModelFields(msgspec.Struct):
    """The fields that the entry reads; all others are forwarded as sent."""

    model: str
    messages: list[Any] | None = None
    prompt: str | list[Any] | None = None
    stream: bool = False
    stream_options: StreamOptions | None = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    choices: int | None = msgspec.field(name='n', default=None)


class ModelRequest:
    """
    A validated model request.

    :param fields: the fields that the entry reads
    :param raw: all fields as raw JSON
    :param size_bytes: length of the body in bytes
    """

    __slots__ = ('_raw', 'fields', 'size_bytes')

    def __init__(
        self, fields: ModelFields, raw: dict[str, msgspec.Raw], size_bytes: int
    ) -> None:
        self.fields = fields
        self.size_bytes = size_bytes
        self._raw = raw

    @classmethod
    def from_body(cls, body: bytes, *, is_chat: bool) -> 'ModelRequest':
        """
        Decode and validate a body.

        :raises RequestRefusedError: the body is not a valid request
        """
        try:
            fields = _decode_fields(body)
            raw = _decode_raw(body)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise RequestRefusedError(
                Refusal.bad_request, str(error)
            ) from error
        required_field = 'messages' if is_chat else 'prompt'
        if getattr(fields, required_field) is None:
            raise RequestRefusedError(
                Refusal.bad_request, f'the field {required_field!r} is missing'
            )
        if fields.choices not in {None, 1}:
            raise RequestRefusedError(
                Refusal.bad_request, 'only one choice (n = 1) is served'
            )
        return cls(fields, raw, len(body))

    @property
    def is_stream(self) -> bool:
        """Whether the caller wants a streamed answer."""
        return self.fields.stream

    @property
    def wants_usage(self) -> bool:
        """Whether the caller wants a usage chunk at the end of the stream."""
        options = self.fields.stream_options
        return options is not None and options.include_usage

    @property
    def prompt_tokens(self) -> int:
        """Estimated length of the prompt in tokens, from the body's length."""
        return max(1, self.size_bytes // BYTES_PER_TOKEN)

    def hash_prompt_blocks(self) -> tuple[int, ...]:
        """Return the hashes of the prompt's blocks, in order."""
        text = join_prompt_text(self.fields.messages, self.fields.prompt)
        return hash_blocks(text.encode())

    @property
    def max_tokens(self) -> int:
        """Upper bound on the output in tokens."""
        return (
            self.fields.max_completion_tokens
            or self.fields.max_tokens
            or DEFAULT_MAX_TOKENS
        )

    def encode_for_target(
        self, resume_from: int = 0, kv_handle: str = ''
    ) -> bytes:
        """
        Return the body for a target.

        A stream always requests a usage chunk, since billing is based on it.

        :param resume_from: count of output tokens that the caller has
            received, 0 to start from the beginning
        :param kv_handle: handle of the KV cache that the target has imported
        """
        fields: dict[str, Any] = dict(self._raw)
        if self.is_stream:
            fields['stream_options'] = StreamOptions(include_usage=True)
        for name in _ENTRY_FIELDS:
            fields.pop(name, None)
        if resume_from:
            fields['resume_from'] = resume_from
        if kv_handle:
            fields['kv_handle'] = kv_handle
        return msgspec.json.encode(fields)

    def encode_for_prefill(self) -> bytes:
        """Return the body for a prefill engine, limited to one output token."""
        fields: dict[str, Any] = dict(self._raw)
        for name in (*_ENTRY_FIELDS, *_OUTPUT_FIELDS):
            fields.pop(name, None)
        fields['max_tokens'] = 1
        return msgspec.json.encode(fields)


# Only the entry sets these; a caller's values are removed.
_ENTRY_FIELDS = ('resume_from', 'kv_handle')
_OUTPUT_FIELDS = ('max_completion_tokens', 'stream', 'stream_options')

_decode_fields = msgspec.json.Decoder(ModelFields).decode
_decode_raw = msgspec.json.Decoder(dict[str, msgspec.Raw]).decode
