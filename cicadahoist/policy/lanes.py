"""Lanes of a pool's queue, and the latest start of a ticket."""

from cicadahoist.policy.flows import Backlog, Flow, QueuedTicket
from cicadahoist.policy.state import BATCH_SLOT_SHARE, PoolCapacity
from cicadahoist.policy.tickets import Ticket

URGENT = 'urgent'
BATCH = 'batch'
CHEAP = 'cheap'
LANES = (URGENT, BATCH, CHEAP)
PATIENCE_SHARE = 0.25
SLACK_HOLDS = 2.0


def lane_of(ticket: Ticket) -> str:
    """Return the lane in which a ticket waits."""
    if ticket.is_urgent:
        return URGENT
    if ticket.cheap_only:
        return CHEAP
    return BATCH


def room_of(lane: str, totals: PoolCapacity) -> int:
    """Return how many targets have room for a lane."""
    if lane == URGENT:
        return totals.urgent
    return totals.batch


def ratio(amount: float, rate: float) -> float:
    """Return an amount over a rate, 0 where there is no rate."""
    return amount / rate if rate else 0


def prepare(ticket: Ticket, totals: PoolCapacity) -> QueuedTicket:
    """Return a ticket with its work and its latest start."""
    cost = ticket.cost
    rate = ratio(totals.tokens_per_ms, totals.targets)
    prefill_ms = ratio(cost.prefill, rate)
    hold_ms = prefill_ms + cost.decode * ratio(totals.step_ms, totals.slots)
    latest_ms = ticket.due_ms - round(hold_ms)
    if ticket.is_urgent:
        first_ms = max(prefill_ms, ratio(totals.first_ms, totals.slots))
        latest_ms = min(latest_ms, _patient_until_ms(ticket, first_ms))
    released_ms = min(
        ticket.arrived_ms + ticket.rule.cheap_only_until_ms,
        latest_ms - round(SLACK_HOLDS * hold_ms),
    )
    work = Backlog(1, hold_ms, cost.prefill)
    return QueuedTicket(ticket, work, latest_ms, released_ms)


def slot_wait_ms(
    lane: str, ahead: Backlog, work: Backlog, totals: PoolCapacity
) -> float:
    """
    Return the wait until a slot is free.

    :param ahead: queued work that goes first
    :param work: the request's own work
    """
    share = 1 if lane == URGENT else BATCH_SLOT_SHARE
    requests = ahead.requests + 1
    waiting = max(0, requests - totals.free * share) / requests
    hold_ms = (ahead.hold_ms + work.hold_ms) * waiting
    return ratio(hold_ms, totals.slots * share)


def limit_wait_ms(flow: Flow, queued: QueuedTicket, most: int | None) -> float:
    """
    Return the wait that a limit on open requests causes.

    :param most: running requests allowed, none for no limit
    """
    waiting = flow.backlog.requests
    if not most or flow.running + waiting < most:
        return 0
    return (waiting + 1) * queued.work.hold_ms / most


def _patient_until_ms(ticket: Ticket, first_ms: float) -> int:
    due_ms = ticket.rule.first_token_ms
    patience_ms = max(due_ms - first_ms, due_ms * PATIENCE_SHARE)
    return ticket.arrived_ms + round(patience_ms)
