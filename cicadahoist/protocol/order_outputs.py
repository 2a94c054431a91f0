"""Outputs of the order chart."""

from typing import TYPE_CHECKING, Any

from cicadahoist.protocol.actions import (
    OrderOutcome,
    OrderSettled,
    ReadTarget,
    SendOrder,
)
from cicadahoist.protocol.machine import Output
from cicadahoist.protocol.order_events import OrderInherited, PlanOrder
from cicadahoist.protocol.records import JournalEntry
from cicadahoist.registry import Registry

if TYPE_CHECKING:
    from cicadahoist.protocol.orders import TargetOrder

OUTPUTS: Registry[Output] = Registry('output of the order chart')


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
    # Not counted from the decision to send, as the process may be suspended
    # between that decision and the send.
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
