"""
Messages between instances and between the entry and control processes.

They are encoded as arrays. For compatibility with older instances, a new field
is added at the end and has a default.
"""

import msgspec

from cicadahoist.codec import Codec


class InstanceInfo(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    Identity and address of one running process of an instance.

    :param incarnation: random id drawn at each start, which distinguishes a
        restart under the same name from a pause
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

    :param heard: incarnation of the receiver, by its name, if the sender
        received from it within the peer timeout; reveals links that fail in
        one direction only
    :param revision: table revision in force at the sender
    :param in_force_ms: how long that revision has been in force
    :param leaving: whether the sender is draining
    :param confirmed_age_ms: time since the sender last confirmed that no newer
        revision was committed; negative if it never did
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

    :param zone: zone whose live instances are listed completely; empty if the
        list is partial and only serves discovery
    """

    instances: list[InstanceInfo]
    zone: str = ''


class TableDelta(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """
    Shard objects that changed since an older table revision.

    :param base: revision to which the delta applies
    :param head: encoded :class:`~cicadahoist.table.Head`
    :param shards: encoded shard objects, by object name
    :param patches: encoded patches of older shard objects, by the name of the
        newer object
    """

    base: int
    head: bytes
    shards: dict[str, bytes]
    patches: dict[str, bytes] = {}


class TableWanted(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """Requests the changes of the table since ``revision`` from a peer."""

    revision: int


class UsageCount(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """
    Usage of one request that completed or was cut off.

    :param request: id of the request, which is counted at most once
    :param window: number of the billing window
    :param number: sequence number of the count among those of the entry in the
        window, assigned when the count is recorded
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
    """Acknowledges that the sender holds copies of these usage counts."""

    requests: list[str]


class UsageFlushed(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """
    Reports that usage counts of the sender for a window are in the store.

    :param through: highest sequence number of these counts
    """

    window: int
    through: int


class DrainNotice(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """
    Requests that every entry sends no new work to a target.

    :param order: id of the drain, ``epoch.seq``
    :param active: whether the drain is in force; false revokes it
    """

    target: str
    order: str
    active: bool = True


class DrainAck(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """
    Acknowledges a drain.

    :param open_requests: number of the sender's requests that still run at
        the target
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
    Recent demand at the sender, by which limits are split among entries.

    :param by_rule: requests, tokens and open requests of the last period,
        by ``workspace/route``
    :param used_by_rule: requests and tokens of the last minute, and open
        requests, by ``workspace/route``
    """

    by_rule: dict[str, tuple[int, int, int]]
    used_by_rule: dict[str, tuple[int, int, int]] = {}


class PoolWork(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """
    Rate of work that arrives at the sender, from which control plans roles.

    :param by_pool: prompt tokens that are not cached and output tokens, both
        per ms, by pool
    :param urgent_by_pool: the same rates for urgent requests, whose callers
        wait; a pool that is missing here has urgent work only
    """

    by_pool: dict[str, tuple[float, float]]
    urgent_by_pool: dict[str, tuple[float, float]] = {}


class LoadView(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """
    Work that the sender has in flight.

    :param by_target: prompt tokens of requests without a first output token,
        and number of open requests, by target
    """

    by_target: dict[str, tuple[int, int]]


class TargetReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    Load that a target reported.

    :param age_ms: age of the report when it was forwarded
    :param prefill_tokens: prompt tokens that are still to be processed
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
    """Load reports of the targets that the sender polls for its zone."""

    by_target: dict[str, TargetReport]


class Blame(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """
    States that a request was running on a target when the target crashed.

    :param digest: digest of the request body
    :param alone: whether no other request was running there
    """

    digest: str
    target: str
    alone: bool


class Quarantined(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """
    Quarantines a request body at all entries.

    :param digest: digest of the request body
    :param for_ms: how long requests with this body are refused
    """

    digest: str
    for_ms: int


class SuspectRun(
    msgspec.Struct, frozen=True, kw_only=True, tag=True, array_like=True
):
    """
    Claims a target for a request that is suspected to crash targets.

    :param digest: digest of the request body
    :param number: higher than the number of any claim known to the sender
    :param claimant: name of the sender
    :param active: whether the request runs or is about to; false once it ended
    """

    digest: str
    target: str
    number: int
    claimant: str = ''
    active: bool = True


class ZoneStatus(msgspec.Struct, frozen=True, kw_only=True):
    """
    State of a zone, written to the store by one of its entries.

    :param revision: lowest table revision in force at any live entry
    :param since_ms: wall-clock time since which all live entries have had this
        revision
    :param written_ms: wall-clock time of the write
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
    Message between zones, forwarded by gateways.

    :param origin: instance that sent it first
    :param number: increases with each relayed message of one incarnation
    :param recipient: name of one instance, empty for all
    :param hops: number of times that it may still be forwarded
    """

    origin: InstanceInfo
    number: int
    recipient: str
    hops: int
    message: Message


class Batch(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """
    All messages to one peer in one round.

    :param sequence: increases with each batch of one incarnation to one peer
    :param sent_ms: reading of the sender's clock when the batch was sent
    :param echo_incarnation: incarnation of the receiver in the last batch that
        the sender received from it, empty for none
    :param echo_ms: ``sent_ms`` of that batch, which shows the receiver how
        recently the sender received from it
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
