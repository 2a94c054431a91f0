"""Outputs of the lease chart."""

from typing import TYPE_CHECKING, Any

import msgspec

from cicadahoist.protocol.actions import (
    ArmTimer,
    DisarmTimer,
    LeaseWon,
    ReadObject,
    RecordWritten,
    StepDown,
)
from cicadahoist.protocol.events import JournalChange, ObjectRead, read_nonce
from cicadahoist.protocol.machine import Output
from cicadahoist.protocol.records import compute_next_epoch, decode_record
from cicadahoist.registry import Registry

if TYPE_CHECKING:
    from cicadahoist.protocol.lease import LeaseKeeper

OUTPUTS: Registry[Output] = Registry('output of the lease chart')


@OUTPUTS.register('read_object')
def _read_object(lease: 'LeaseKeeper', event: Any, now_ms: int) -> None:
    lease.actions.append(ReadObject(lease.name))


@OUTPUTS.register('note_version')
def _note_version(lease: 'LeaseKeeper', event: ObjectRead, now_ms: int) -> None:
    record = decode_record(event.payload)
    lease.seen_version.enter_era(event.era, now_ms)
    if record.nonce != lease.record.nonce:
        # The store has given the version of the record before out again.
        lease.seen_version.forget()
    lease.seen_version.update(event.version, now_ms)
    lease.observe(record)


@OUTPUTS.register('write_claim')
def _write_claim(lease: 'LeaseKeeper', event: Any, now_ms: int) -> None:
    lease.write_ms_by_nonce.clear()
    claim = msgspec.structs.replace(
        lease.record,
        epoch=compute_next_epoch(
            lease.newest_epoch, lease.seen_version.era or 0, lease.holder
        ),
        holder=lease.holder,
        released=False,
    )
    lease.write(claim, now_ms)


@OUTPUTS.register('write_again')
def _write_again(lease: 'LeaseKeeper', event: Any, now_ms: int) -> None:
    lease.write(lease.pending_record, now_ms)


@OUTPUTS.register('write_renewal')
def _write_renewal(lease: 'LeaseKeeper', event: Any, now_ms: int) -> None:
    lease.write(lease.record, now_ms)


@OUTPUTS.register('write_journal')
def _write_journal(
    lease: 'LeaseKeeper', event: JournalChange, now_ms: int
) -> None:
    orders = dict(lease.record.orders)
    orders.update({entry.target: entry for entry in event.entries})
    highest = max(entry.seq for entry in event.entries)
    changed = msgspec.structs.replace(
        lease.record, orders=orders, seq=max(lease.record.seq, highest)
    )
    lease.write(changed, now_ms)


@OUTPUTS.register('become_holder')
def _become_holder(lease: 'LeaseKeeper', event: Any, now_ms: int) -> None:
    _start_term(lease, event, now_ms)
    lease.actions.append(LeaseWon(lease.record))


@OUTPUTS.register('extend_term')
def _extend_term(lease: 'LeaseKeeper', event: Any, now_ms: int) -> None:
    _start_term(lease, event, now_ms)
    lease.actions.append(RecordWritten(lease.record))


def _start_term(lease: 'LeaseKeeper', event: Any, now_ms: int) -> None:
    lease.term_end_ms = lease.compute_term_end(event)
    lease.seen_version.update(event.version, now_ms)
    lease.observe(
        msgspec.structs.replace(lease.pending_record, nonce=read_nonce(event))
    )
    lease.write_ms_by_nonce.clear()
    lease.actions.append(ArmTimer(lease.kill_ms))


@OUTPUTS.register('step_down')
def _step_down(lease: 'LeaseKeeper', event: Any, now_ms: int) -> None:
    lease.actions.append(StepDown(lease.record.epoch))
    lease.actions.append(DisarmTimer())


@OUTPUTS.register('write_release')
def _write_release(lease: 'LeaseKeeper', event: Any, now_ms: int) -> None:
    if lease.may_release:
        released = msgspec.structs.replace(lease.record, released=True)
        lease.write(released, now_ms)
    lease.write_ms_by_nonce.clear()


@OUTPUTS.register('drop_attempts')
def _drop_attempts(lease: 'LeaseKeeper', event: Any, now_ms: int) -> None:
    lease.write_ms_by_nonce.clear()


@OUTPUTS.register('mark_leaving')
def _mark_leaving(lease: 'LeaseKeeper', event: Any, now_ms: int) -> None:
    lease.is_leaving = True
