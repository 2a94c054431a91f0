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
from cicadahoist.protocol.events import JournalChange, ObjectRead, nonce_of
from cicadahoist.protocol.machine import Output
from cicadahoist.protocol.records import decode_record
from cicadahoist.registry import Registry

if TYPE_CHECKING:
    from cicadahoist.protocol.lease import LeaseKeeper

OUTPUTS: Registry[Output] = Registry('output of the lease chart')


@OUTPUTS.register('read_object')
def _read_object(lease: 'LeaseKeeper', event: Any, now_ms: int) -> None:
    lease.actions.append(ReadObject(lease.name))


@OUTPUTS.register('note_version')
def _note_version(lease: 'LeaseKeeper', event: ObjectRead, now_ms: int) -> None:
    lease.seen.note(event.version, now_ms)
    lease.record = decode_record(event.payload)


@OUTPUTS.register('write_claim')
def _write_claim(lease: 'LeaseKeeper', event: Any, now_ms: int) -> None:
    lease.attempts.clear()
    claim = msgspec.structs.replace(
        lease.record,
        epoch=lease.record.epoch + 1,
        holder=lease.holder,
        released=False,
    )
    lease.write(claim, now_ms)


@OUTPUTS.register('write_again')
def _write_again(lease: 'LeaseKeeper', event: Any, now_ms: int) -> None:
    lease.write(lease.pending, now_ms)


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


@OUTPUTS.register('hold')
def _hold(lease: 'LeaseKeeper', event: Any, now_ms: int) -> None:
    _take_in(lease, event, now_ms)
    lease.actions.append(LeaseWon(lease.record))


@OUTPUTS.register('extend')
def _extend(lease: 'LeaseKeeper', event: Any, now_ms: int) -> None:
    _take_in(lease, event, now_ms)
    lease.actions.append(RecordWritten(lease.record))


def _take_in(lease: 'LeaseKeeper', event: Any, now_ms: int) -> None:
    lease.deadline_ms = lease.deadline_of(event)
    lease.seen.note(event.version, now_ms)
    lease.record = msgspec.structs.replace(lease.pending, nonce=nonce_of(event))
    lease.attempts.clear()
    lease.actions.append(ArmTimer(lease.kill_ms))


@OUTPUTS.register('step_down')
def _step_down(lease: 'LeaseKeeper', event: Any, now_ms: int) -> None:
    lease.actions.append(StepDown(lease.record.epoch))
    lease.actions.append(DisarmTimer())


@OUTPUTS.register('write_release')
def _write_release(lease: 'LeaseKeeper', event: Any, now_ms: int) -> None:
    released = msgspec.structs.replace(lease.record, released=True)
    lease.write(released, now_ms)
    lease.attempts.clear()


@OUTPUTS.register('drop_attempts')
def _drop_attempts(lease: 'LeaseKeeper', event: Any, now_ms: int) -> None:
    lease.attempts.clear()


@OUTPUTS.register('mark_leaving')
def _mark_leaving(lease: 'LeaseKeeper', event: Any, now_ms: int) -> None:
    lease.leaving = True
