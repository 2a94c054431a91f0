"""Requests and answers in the core's terms, independent of any platform."""

from enum import Enum
from typing import Protocol

import msgspec

HeaderList = list[tuple[bytes, bytes]]


_HTTP_NO_CONTENT = 204
_HTTP_NOT_MODIFIED = 304


def may_have_body(method: bytes, status: int) -> bool:
    """Return whether an answer may have a body, whatever its head states."""
    return method != b'HEAD' and status not in {
        _HTTP_NO_CONTENT,
        _HTTP_NOT_MODIFIED,
    }


def may_state_other_length(method: bytes, status: int) -> bool:
    """
    Return whether an answer may state the length of a body that it lacks.

    It is that of the answer to GET; RFC 9110, section 8.6.
    """
    return status != _HTTP_NO_CONTENT and not may_have_body(method, status)


class RepeatRule(Enum):
    """
    Whether a request may be repeated after it may have run.

    ``repeatable``: any number of times. ``once``: never. ``resumable``: another
    target may continue the answer after the last event that was received.
    """

    repeatable = 'repeatable'
    once = 'once'
    resumable = 'resumable'


class PromptPart(msgspec.Struct, frozen=True, array_like=True):
    """
    Part of a prompt whose KV cache engines store under its digest.

    :param digest: digest of the content
    :param tokens: length of the part
    """

    digest: str
    tokens: int


class ModelWork(msgspec.Struct, frozen=True, kw_only=True):
    """
    Work that a request causes at an engine.

    :param model: name of the model
    :param prompt_tokens: length of the prompt
    :param max_output_tokens: limit of the output, set by the caller
    :param parts: parts of the prompt in order; the last one is the caller's own
    :param estimated_output_tokens: length of the output as estimated by the
        caller, 0 for no estimate
    """

    model: str
    prompt_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...] = ()
    estimated_output_tokens: int = 0

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may share: all but the last one."""
        return self.parts[:-1]


class BodyHold(Protocol):
    """Memory that is taken for a body."""

    def share(self) -> 'BodyHold':
        """Add a holder; the memory is given back by the last one."""

    def release(self) -> None:
        """Give the memory back if no other holder is left."""


class InboundRequest(msgspec.Struct, kw_only=True):
    """
    A request that was received completely.

    :param attempt_id: id that the caller gave this attempt, empty for none
    :param path: request target as sent, including the query
    :param headers: headers that are forwarded unchanged
    :param key: API key of the caller, empty for none
    :param patience_ms: how long the caller waits for an answer, none if it
        does not state this
    :param resume_after: id of the last event that the caller received, empty
        for none
    :param resumed_attempt_id: id of the attempt that brought the first event of
        a stream that its caller takes up, empty for none
    :param work: work for an engine, none for plain services
    :param arrived_ms: earliest time at which the first byte can have arrived
    :param read_ms: time at which the last byte was read
    :param hold: the memory for the body, none if it is not counted
    """

    attempt_id: str
    method: bytes
    host: str
    path: bytes
    headers: HeaderList
    body: bytes = b''
    key: str = ''
    patience_ms: int | None = None
    resume_after: str = ''
    resumed_attempt_id: str = ''
    work: ModelWork | None = None
    arrived_ms: int = 0
    read_ms: int = 0
    hold: BodyHold | None = None

    def release_body(self) -> None:
        """Drop the body, and give its memory back."""
        self.body = b''  # noqa: WPS601
        if self.hold is not None:
            self.hold.release()
            self.hold = None  # noqa: WPS601


class Handle(msgspec.Struct, frozen=True):
    """
    Reference to the KV cache of a prompt, held by its prefill engine.

    :param engine: id of the prefill engine
    :param address: host and port of the prefill engine
    :param name: name of the cache at that engine
    """

    engine: str
    address: str
    name: str


class SendOptions(msgspec.Struct, frozen=True, kw_only=True):
    """
    Options of one attempt at a target.

    :param target: id of the target; another target at its address refuses
    :param workspace: workspace of the caller, empty for none
    :param remaining_ms: time left until the deadline, none for no deadline
    :param prefill_only: whether the engine runs prefill only
    :param handle: KV cache from which decode starts, none to run prefill first
    :param resume_after: id of the last event that the caller received, empty
        for none
    :param urgency: from 0, the most urgent, to 9
    """

    target: str
    workspace: str = ''
    remaining_ms: int | None = None
    prefill_only: bool = False
    handle: Handle | None = None
    resume_after: str = ''
    urgency: int = 5


class AnswerMeaning(Enum):
    """
    What the head of a target's answer means.

    ``not_run``: the target did not run the request. ``misplaced``: another
    target has this address now. ``foreign``: the answer belongs to another
    request. ``ambiguous``: it names several requests, or several signatures.
    ``unsigned``: a success without the signature of the target, which must not
    reach a caller. ``whole``: a success. ``failure``: the target ran the
    request, and the request failed.
    """

    not_run = 'not-run'
    misplaced = 'misplaced'
    foreign = 'foreign'
    ambiguous = 'ambiguous'
    unsigned = 'unsigned'
    whole = 'whole'
    failure = 'failure'


class AnswerHead(msgspec.Struct, frozen=True):
    """
    Status and headers of a target's answer.

    :param headers: headers that are forwarded to the caller
    :param idle_timeout_ms: how long the target keeps an idle connection open,
        none if it does not state this
    :param is_target_leaving: whether the target states that it leaves
    :param pause_ms: time for which the target wants no requests from this
        instance, none if it does not state this
    :param named_request: id of the attempt that the answer states, empty if it
        states none
    """

    meaning: AnswerMeaning
    status: int
    headers: HeaderList
    idle_timeout_ms: int | None = None
    is_target_leaving: bool = False
    pause_ms: int | None = None
    named_request: str = ''

    @property
    def media_type(self) -> bytes:
        """The media type of the body in lower case, empty if not stated."""
        for name, content in self.headers:
            if name.lower() == b'content-type':
                return content.partition(b';')[0].strip().lower()
        return b''
