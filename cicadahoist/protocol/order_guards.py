"""Guards of the order chart."""

from typing import TYPE_CHECKING, Any

from cicadahoist.protocol.actions import RecordWritten
from cicadahoist.protocol.machine import Guard
from cicadahoist.protocol.order_events import (
    OrderProgress,
    PlanOrder,
    TargetRead,
)
from cicadahoist.registry import Registry

if TYPE_CHECKING:
    from cicadahoist.protocol.orders import TargetOrder

GUARDS: Registry[Guard] = Registry('guard of the order chart')


@GUARDS.register('may_plan')
def _may_plan(order: 'TargetOrder', event: PlanOrder, now_ms: int) -> bool:
    lease = order.book.lease
    return lease.is_holder(now_ms) and not lease.is_leaving


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
    return now_ms - order.sent_ms >= order.book.lease.timing.order_bound_ms


@GUARDS.register('shows_done')
def _shows_done(order: 'TargetOrder', event: TargetRead, now_ms: int) -> bool:
    return event.progress is OrderProgress.done


@GUARDS.register('shows_changing')
def _shows_changing(
    order: 'TargetOrder', event: TargetRead, now_ms: int
) -> bool:
    return event.progress is OrderProgress.changing
