"""Guards of the lease chart."""

from typing import TYPE_CHECKING, Any

from cicadahoist.protocol.events import ObjectRead, read_nonce
from cicadahoist.protocol.machine import Guard
from cicadahoist.protocol.records import decode_record
from cicadahoist.registry import Registry

if TYPE_CHECKING:
    from cicadahoist.protocol.lease import LeaseKeeper

GUARDS: Registry[Guard] = Registry('guard of the lease chart')


@GUARDS.register('lease_free')
def _lease_free(lease: 'LeaseKeeper', event: ObjectRead, now_ms: int) -> bool:
    record = decode_record(event.payload)
    # A lease that was seen and is missing now may still have its holder.
    is_new = not record.epoch and not lease.newest_epoch
    is_free = record.released or is_new
    return is_free and _is_era_settled(lease, event, now_ms)


@GUARDS.register('takeover_due')
def _takeover_due(lease: 'LeaseKeeper', event: ObjectRead, now_ms: int) -> bool:
    if not _has_seen(lease, event):
        return False
    return now_ms - lease.seen_version.since_ms >= lease.timing.takeover_ms


@GUARDS.register('term_usable')
def _term_usable(lease: 'LeaseKeeper', event: Any, now_ms: int) -> bool:
    return now_ms < lease.compute_term_end(event) - 2 * lease.timing.margin_ms


@GUARDS.register('answer_current')
def _answer_current(lease: 'LeaseKeeper', event: Any, now_ms: int) -> bool:
    return event.nonce == lease.pending_record.nonce and bool(
        lease.write_ms_by_nonce
    )


@GUARDS.register('nonce_own')
def _nonce_own(lease: 'LeaseKeeper', event: ObjectRead, now_ms: int) -> bool:
    # A write that was granted in an earlier era may be gone with it.
    is_granted_here = event.era == lease.seen_version.era
    return is_granted_here and read_nonce(event) in lease.write_ms_by_nonce


@GUARDS.register('version_unchanged')
def _version_unchanged(
    lease: 'LeaseKeeper', event: ObjectRead, now_ms: int
) -> bool:
    return _has_seen(lease, event)


@GUARDS.register('step_down_due')
def _step_down_due(lease: 'LeaseKeeper', event: Any, now_ms: int) -> bool:
    return now_ms >= lease.step_down_ms


@GUARDS.register('renewal_due')
def _renewal_due(lease: 'LeaseKeeper', event: Any, now_ms: int) -> bool:
    written_ms = lease.term_end_ms - lease.timing.term_ms
    return now_ms - written_ms >= lease.timing.renewal_ms


@GUARDS.register('orders_settled')
def _orders_settled(lease: 'LeaseKeeper', event: Any, now_ms: int) -> bool:
    return lease.record.are_orders_settled


@GUARDS.register('leaving')
def _leaving(lease: 'LeaseKeeper', event: Any, now_ms: int) -> bool:
    return lease.is_leaving


def _has_seen(lease: 'LeaseKeeper', event: ObjectRead) -> bool:
    """
    Return whether the object still is as it was last seen.

    A store that has come back from a copy gives versions out again.
    """
    seen = lease.seen_version
    if (event.era, event.version) != (seen.era, seen.version):
        return False
    return read_nonce(event) == lease.record.nonce


def _is_era_settled(
    lease: 'LeaseKeeper', event: ObjectRead, now_ms: int
) -> bool:
    """
    Return whether no holder of an earlier era can be left.

    A record that is missing, or released, may be an older copy. A store without
    eras never comes back from one.
    """
    if not event.era:
        return True
    seen = lease.seen_version
    if event.era != seen.era:
        return False
    return now_ms - seen.era_since_ms >= lease.timing.takeover_ms
