"""
Messages between instances and between the entry and control processes.

They travel as arrays: a new field goes last and has a default.
"""

import msgspec

from cicadahoist.codec import Codec


class InstanceInfo(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    Identity and address of one running process of an instance.

    :param incarnation: drawn anew at each start, so that a restart under
        the same name is told apart from a pause
    """

    name: str
    zone: str
    address: str
    port: int
    incarnation: str


class Heartbeat(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """
    State of the sender, sent to each peer in each round.

    :param heard: incarnation of the receiver that the sender heard within
        the peer timeout, by name; shows one-way cuts
    :param revision: table revision in force at the sender
    :param in_force_ms: how long that revision has been in force
    :param leaving: whether the sender is draining
    :param confirmed_age_ms: time since the sender last knew that no newer
        revision was committed; negative where it never did
    """

    heard: dict[str, str]
    revision: int
    in_force_ms: int
    leaving: bool = False
    confirmed_age_ms: int = -1


class KnownInstances(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """
    Addresses of live instances.

    :param zone: the zone whose live instances are all listed; empty where
        the list only serves to find them
    """

    instances: list[InstanceInfo]
    zone: str = ''


class TableDelta(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """
    Shard objects that changed since an older revision.

    :param base: revision to which the delta applies
    :param head: encoded :class:`~cicadahoist.table.Head`
    :param shards: encoded shard objects, by object name
    :param patches: encoded differences to older shard objects, by the name
        of the newer one
    """

    base: int
    head: bytes
    shards: dict[str, bytes]
    patches: dict[str, bytes] = {}


class TableWanted(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """Asks a peer for what changed since ``revision``."""

    revision: int


class UsageCount(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """
    Usage of one finished or broken-off request.

    :param request: identifier of the request, counted at most once
    :param window: number of the billing window
    :param number: rises by one with each count of the entry in the window;
        given when the count is recorded
    """

    request: str
    entry: str
    window: int
    workspace: str
    route: str
    prompt_tokens: int
    output_tokens: int
    number: int = 0


class UsageCopied(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """Acknowledges that the sender keeps copies of these counts."""

    requests: list[str]


class UsageFlushed(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """
    Tells peers that the sender's counts of a window are in the store.

    :param through: the highest number of those counts
    """

    window: int
    through: int


class DrainNotice(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """
    Asks every entry to send no new work to a target.

    :param order: identifier of the drain, ``epoch.seq``
    :param active: false takes the drain back
    """

    target: str
    order: str
    active: bool = True


class DrainAck(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """
    Acknowledges a drain.

    :param open_requests: requests of the sender that still run there
    """

    target: str
    order: str
    instance: str
    incarnation: str
    open_requests: int


class Demand(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """
    Recent demand at the sender, from which limits are split.

    :param by_rule: requests, tokens and open requests of the last period,
        by ``workspace/route``
    :param used_by_rule: requests and tokens of the last minute, and open
        requests
    """

    by_rule: dict[str, tuple[int, int, int]]
    used_by_rule: dict[str, tuple[int, int, int]] = {}


class PoolWork(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """
    Work that arrived at the sender, from which control plans roles.

    :param by_pool: prompt tokens, cached ones left out, and output tokens a
        ms, by pool
    :param urgent_by_pool: the part of requests whose callers wait; a pool that
        lacks here has urgent work only
    """

    by_pool: dict[str, tuple[float, float]]
    urgent_by_pool: dict[str, tuple[float, float]] = {}


class LoadView(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """
    Work in flight from the sender.

    :param by_target: prompt tokens before their first output token, and
        open requests, by target
    """

    by_target: dict[str, tuple[int, int]]


class TargetReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    Load that a target reported.

    :param age_ms: age of the report when it was sent on
    :param prefill_tokens: prompt tokens still to be processed
    """

    age_ms: int
    role: str
    running: int
    queued: int
    prefill_tokens: int
    draining: bool


class TargetReports(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """Reports of the targets that the sender polls for its zone."""

    by_target: dict[str, TargetReport]


class Blame(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """
    A request ran on a target while that target died.

    :param alone: whether no other request ran there
    """

    digest: str
    target: str
    alone: bool


class Quarantined(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """Bodies with this digest are refused everywhere for a time."""

    digest: str
    for_ms: int


class SuspectRun(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """
    A suspect is about to run on a target, or has ended there.

    :param number: higher than that of all claims that the sender knows
    :param claimant: name of the sender
    :param active: false once it has ended
    """

    digest: str
    target: str
    number: int
    claimant: str = ''
    active: bool = True


class ZoneStatus(msgspec.Struct, frozen=True, kw_only=True):
    """
    State of a zone, written to the store by one of its entries.

    :param revision: lowest table revision in force at a live entry
    :param since_ms: wall-clock time from which all live entries had it
    :param written_ms: wall-clock time of writing
    :param entries: number of live entries
    """

    zone: str
    revision: int
    since_ms: int
    written_ms: int
    entries: int


def zone_status_name(zone: str) -> str:
    """Return the name of the object that holds a zone's status."""
    return f'status/{zone}'


Message = (
    Heartbeat
    | KnownInstances
    | TableDelta
    | TableWanted
    | UsageCount
    | UsageCopied
    | UsageFlushed
    | DrainNotice
    | DrainAck
    | Demand
    | LoadView
    | PoolWork
    | TargetReports
    | Blame
    | Quarantined
    | SuspectRun
)


class Relayed(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """
    A message between zones, passed on by gateways.

    :param origin: the instance that sent it first
    :param number: rises with each relayed message of one incarnation
    :param recipient: name of one instance, empty for all
    :param hops: how many times it is still passed on
    """

    origin: InstanceInfo
    number: int
    recipient: str
    hops: int
    message: Message


class Batch(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    All messages for one peer in one round.

    :param sequence: rises with each batch of one incarnation to one peer
    :param sent_ms: reading of the sender's clock
    :param echo_incarnation: incarnation of the receiver that the sender
        heard last, empty for none
    :param echo_ms: the ``sent_ms`` of the last batch heard from it, so that
        the receiver knows since when the sender hears it
    """

    sender: InstanceInfo
    sequence: int
    messages: list[Message | Relayed]
    sent_ms: int = 0
    echo_incarnation: str = ''
    echo_ms: int = 0


_batches: Codec[Batch] = Codec.packed('batch', Batch)
encode_batch = _batches.encode
decode_batch = _batches.decode
