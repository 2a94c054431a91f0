"""Messages exchanged with engines."""

import msgspec


class AttemptState(msgspec.Struct, frozen=True):
    """
    State of one attempt at an engine.

    :param state: ``absent``, ``queued``, ``running``, ``finished`` or
        ``cancelled``
    :param tokens: output tokens so far
    """

    state: str
    tokens: int = 0


class EngineLoad(msgspec.Struct, frozen=True, kw_only=True):
    """
    Load report of an engine, ``age_ms`` old.

    :param prefill_tokens: prompt tokens waiting for prefill
    :param decode_tokens: output tokens that running requests may still generate
    :param kv_used: KV cache in use, in tokens
    """

    age_ms: int
    role: str
    running: int
    queued: int
    prefill_tokens: int
    decode_tokens: int
    kv_used: int
    kv_total: int
    models: list[str]
    draining: bool


class CacheEvent(msgspec.Struct, frozen=True):
    """A KV cache block that was stored or evicted; ``seq`` may have gaps."""

    seq: int
    kind: str
    block: str


class CacheEvents(msgspec.Struct, frozen=True):
    """KV cache events; ``next`` is the sequence number to continue after."""

    events: list[CacheEvent]
    next: int


class CacheHandle(msgspec.Struct, frozen=True):
    """Name by which other engines fetch a KV cache."""

    handle: str


class EngineOrder(msgspec.Struct, frozen=True, kw_only=True):
    """
    An order to an engine.

    :param epoch: fencing token of the lease under which it is sent
    :param seq: increases with each order to one engine
    :param kind: ``role``, ``model``, ``adapter``, ``version`` or ``drain``
    """

    epoch: int
    seq: int
    kind: str
    argument: str = ''


class EngineOrders(msgspec.Struct, frozen=True, kw_only=True):
    """
    The last order that an engine accepted, and its state.

    :param changing: whether that order is still in progress
    """

    epoch: int
    seq: int
    role: str
    models: list[str]
    adapters: list[str]
    versions: dict[str, str]
    changing: bool
