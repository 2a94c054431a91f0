"""Requests as callers send them, free of any platform's names."""

from enum import Enum

import msgspec

HeaderList = list[tuple[bytes, bytes]]


class RepeatRule(Enum):
    """
    Whether a request may run again.

    ``repeatable`` runs may be repeated freely, ``once`` runs at most once and
    ``resumable`` runs may go on at another target after the last event.
    """

    repeatable = 'repeatable'
    once = 'once'
    resumable = 'resumable'


class PromptPart(msgspec.Struct, frozen=True, array_like=True):
    """
    One part of a prompt that engines cache under its digest.

    :param digest: names the content
    :param tokens: its length
    """

    digest: str
    tokens: int


class ModelWork(msgspec.Struct, frozen=True, kw_only=True):
    """
    What a request asks of an engine.

    :param model: name of the model
    :param prompt_tokens: length of the prompt
    :param max_output_tokens: the caller's bound on the output
    :param parts: the prompt's parts in order, the caller's own one last
    :param estimated_output_tokens: the caller's estimate, 0 for none
    """

    model: str
    prompt_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...] = ()
    estimated_output_tokens: int = 0


class InboundRequest(msgspec.Struct, kw_only=True):
    """
    A whole request as it was read from a caller.

    :param attempt_id: the caller's name for this attempt, empty for none
    :param path: request target as sent, query included
    :param headers: headers that are passed on as they came
    :param key: the caller's key, empty for none
    :param patience_ms: how long the caller waits, none if it does not say
    :param resume_after: last event that the caller has, empty for none
    :param work: what it asks of an engine, none for plain services
    :param arrived_ms: when it was read as a whole
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
    work: ModelWork | None = None
    arrived_ms: int = 0


class Handle(msgspec.Struct, frozen=True):
    """
    A prompt's KV cache that waits at the engine that read the prompt.

    :param engine: id of that engine
    :param address: its host and port
    :param name: name of the cache there
    """

    engine: str
    address: str
    name: str


class SendOptions(msgspec.Struct, frozen=True, kw_only=True):
    """
    How one attempt is sent to a target.

    :param target: id that the target has to have
    :param workspace: the workspace that the request runs for, empty for none
    :param remaining_ms: how long the target may work, none for no bound
    :param prefill_only: whether the prompt is read without running it
    :param handle: cache to go on from, where there is one
    :param resume_after: last event that the caller has, empty for none
    :param urgency: 0 for the most urgent to 9
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
    What the head of a target's answer states.

    ``not_run``: the target says that it did not run the request. ``misplaced``:
    another target has this address now. ``foreign``: it answers another
    request. ``unsigned``: a success without the target's signature, which is
    not meant for callers. ``whole``: a success. ``failure``: the target ran the
    request and failed it.
    """

    not_run = 'not-run'
    misplaced = 'misplaced'
    foreign = 'foreign'
    unsigned = 'unsigned'
    whole = 'whole'
    failure = 'failure'


class AnswerHead(msgspec.Struct, frozen=True):
    """
    Status and headers of a target's answer.

    :param headers: headers for the caller
    :param idle_timeout_ms: how long the target keeps an idle connection open,
        none if it does not say
    """

    meaning: AnswerMeaning
    status: int
    headers: HeaderList
    idle_timeout_ms: int | None = None
