"""Server-sent events of a streamed answer."""

import msgspec

from cicadahoist.outside.bodies import MAX_EVENT_BYTES

EVENT_END = b'\n\n'
DATA_PREFIX = b'data:'
DONE = b'[DONE]'


class Delta(msgspec.Struct):
    """The fields of a chat delta that the entry reads."""

    content: str | None = None
    tool_calls: msgspec.Raw | None = None


class Choice(msgspec.Struct):
    """The fields of a choice that the entry reads."""

    finish_reason: str | None = None
    text: str | None = None
    delta: Delta | None = None

    @property
    def has_output(self) -> bool:
        """Whether the choice has output, not only a role or finish reason."""
        if self.delta is None:
            return bool(self.text)
        return bool(self.delta.content or self.delta.tool_calls)


class Usage(msgspec.Struct):
    """Token counts of an answer."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class Chunk(msgspec.Struct):
    """
    The fields of a chunk that the entry reads.

    :param token_offset: position of its first token in the answer, if the
        engine reports it
    :param tokens: count of its tokens, valid only with an offset
    """

    id: str = ''
    choices: list[Choice] = []
    usage: Usage | None = None
    token_offset: int | None = None
    tokens: int = 1
    error: msgspec.Raw | None = None


decode_chunk = msgspec.json.Decoder(Chunk).decode


class EventSplitter:
    """Splits a byte stream into events."""

    __slots__ = ('_incomplete',)

    def __init__(self) -> None:
        self._incomplete = bytearray()

    @property
    def is_event_too_long(self) -> bool:
        """Whether the unfinished event is longer than any event may be."""
        return len(self._incomplete) > MAX_EVENT_BYTES

    def feed(self, received: bytes) -> list[bytes]:
        """Add received bytes; return the payloads of the completed events."""
        search_start = max(0, len(self._incomplete) - len(EVENT_END) + 1)
        self._incomplete += received
        if self._incomplete.find(EVENT_END, search_start) < 0:
            return []
        events = bytes(self._incomplete).split(EVENT_END)
        self._incomplete = bytearray(events.pop())
        return [
            event.removeprefix(DATA_PREFIX).strip()
            for event in events
            if event.startswith(DATA_PREFIX)
        ]


def encode_event(payload: bytes) -> bytes:
    """Return a server-sent event with a payload."""
    return b'data: %b\n\n' % payload
