"""Guards and outputs of the order chart."""

from typing import TYPE_CHECKING, Any

from cicadahoist.protocol.actions import (
    OrderOutcome,
    OrderSettled,
    ReadTarget,
    RecordWritten,
    SendOrder,
)
from cicadahoist.protocol.machine import Guard, Output
from cicadahoist.protocol.order_events import (
    OrderInherited,
    PlanOrder,
    Shown,
    TargetRead,
)
from cicadahoist.protocol.records import JournalEntry
from cicadahoist.registry import Registry

if TYPE_CHECKING:
    from cicadahoist.protocol.orders import TargetOrder

GUARDS: Registry[Guard] = Registry('guard of the order chart')
OUTPUTS: Registry[Output] = Registry('output of the order chart')


@GUARDS.register('may_plan')
def _may_plan(order: 'TargetOrder', event: PlanOrder, now_ms: int) -> bool:
    lease = order.book.lease
    return lease.is_holder(now_ms) and not lease.leaving


@GUARDS.register('entry_written')
def _entry_written(
    order: 'TargetOrder', event: RecordWritten, now_ms: int
) -> bool:
    written = event.record.orders.get(order.current.target)
    return written == order.entry


@GUARDS.register('may_send')
def _may_send(order: 'TargetOrder', event: Any, now_ms: int) -> bool:
    return order.book.lease.is_holder(now_ms)


@GUARDS.register('answer_current')
def _answer_current(order: 'TargetOrder', event: Any, now_ms: int) -> bool:
    return event.token == order.current.token


@GUARDS.register('order_expired')
def _order_expired(order: 'TargetOrder', event: Any, now_ms: int) -> bool:
    return now_ms - order.sent_ms >= order.book.lease.timing.bound_ms


@GUARDS.register('shows_order')
def _shows_order(order: 'TargetOrder', event: TargetRead, now_ms: int) -> bool:
    return event.shown is Shown.done


@GUARDS.register('shows_changing')
def _shows_changing(
    order: 'TargetOrder', event: TargetRead, now_ms: int
) -> bool:
    return event.shown is Shown.changing


@OUTPUTS.register('draft')
def _draft(order: 'TargetOrder', event: PlanOrder, now_ms: int) -> None:
    order.draft(
        JournalEntry(
            target=event.target,
            epoch=order.book.lease.record.epoch,
            seq=order.book.next_seq(),
            kind=event.kind,
            argument=event.argument,
        )
    )


@OUTPUTS.register('inherit')
def _inherit(order: 'TargetOrder', event: OrderInherited, now_ms: int) -> None:
    order.entry = event.entry


@OUTPUTS.register('send')
def _send(order: 'TargetOrder', event: Any, now_ms: int) -> None:
    order.actions.append(SendOrder(order.current))


@OUTPUTS.register('start_bound')
def _start_bound(order: 'TargetOrder', event: Any, now_ms: int) -> None:
    # Not counted from the decision to send: a pause may follow it.
    order.sent_ms = now_ms


@OUTPUTS.register('read_target')
def _read_target(order: 'TargetOrder', event: Any, now_ms: int) -> None:
    entry = order.current
    order.actions.append(ReadTarget(entry.target, entry.token))


@OUTPUTS.register('settle_done')
def _settle_done(order: 'TargetOrder', event: Any, now_ms: int) -> None:
    order.settle(OrderOutcome.done)


@OUTPUTS.register('settle_refused')
def _settle_refused(order: 'TargetOrder', event: Any, now_ms: int) -> None:
    order.settle(OrderOutcome.refused)


@OUTPUTS.register('settle_cancelled')
def _settle_cancelled(order: 'TargetOrder', event: Any, now_ms: int) -> None:
    order.settle(OrderOutcome.cancelled)


@OUTPUTS.register('report')
def _report(order: 'TargetOrder', event: Any, now_ms: int) -> None:
    order.actions.append(OrderSettled(order.current, order.outcome))


@OUTPUTS.register('forget')
def _forget(order: 'TargetOrder', event: Any, now_ms: int) -> None:
    order.entry = None
