"""Lane selection, start deadlines and wait estimates of queued requests."""

from cicadahoist.policy.flows import Backlog, Flow, QueuedTicket
from cicadahoist.policy.state import BATCH_SLOT_SHARE, PoolCapacity
from cicadahoist.policy.tickets import Ticket

URGENT = 'urgent'
BATCH = 'batch'
CHEAP = 'cheap'
LANES = (URGENT, BATCH, CHEAP)
# Part of the first token limit that a request may always spend waiting.
MIN_FIRST_TOKEN_WAIT_SHARE = 0.25
# Slack that remains at the end of the wait for cheap targets, as a multiple of
# the time for which the request will occupy a slot.
CHEAP_SLACK_HOLDS = 2.0


def choose_lane(ticket: Ticket) -> str:
    """Return the name of the lane in which a ticket waits."""
    if ticket.is_urgent:
        return URGENT
    if ticket.cheap_only:
        return CHEAP
    return BATCH


def count_targets_with_room(lane: str, totals: PoolCapacity) -> int:
    """Return the number of targets that have room for a request of a lane."""
    if lane == URGENT:
        return totals.urgent
    return totals.batch


def divide_or_zero(amount: float, rate: float) -> float:
    """Return an amount divided by a rate, or 0 if the rate is 0."""
    return amount / rate if rate else 0


def build_queued_ticket(ticket: Ticket, totals: PoolCapacity) -> QueuedTicket:
    """Return a ticket with its expected work and its start deadlines."""
    cost = ticket.cost
    target_tokens_per_ms = divide_or_zero(totals.tokens_per_ms, totals.targets)
    prefill_ms = divide_or_zero(cost.prefill_tokens, target_tokens_per_ms)
    slot_hold_ms = prefill_ms + cost.decode_tokens * divide_or_zero(
        totals.step_ms, totals.slots
    )
    latest_start_ms = ticket.due_ms - round(slot_hold_ms)
    if ticket.is_urgent:
        first_token_ms = max(
            prefill_ms, divide_or_zero(totals.first_ms, totals.slots)
        )
        latest_start_ms = min(
            latest_start_ms,
            _compute_latest_urgent_start_ms(ticket, first_token_ms),
        )
    cheap_only_until_ms = min(
        ticket.arrived_ms + ticket.rule.cheap_only_until_ms,
        latest_start_ms - round(CHEAP_SLACK_HOLDS * slot_hold_ms),
    )
    work = Backlog(1, slot_hold_ms, cost.prefill_tokens)
    return QueuedTicket(ticket, work, latest_start_ms, cheap_only_until_ms)


def estimate_slot_wait_ms(
    lane: str, ahead: Backlog, work: Backlog, totals: PoolCapacity
) -> float:
    """
    Return the expected wait for a free slot.

    :param lane: lane of the request
    :param ahead: queued work that is served before the request
    :param work: work of the request itself
    :param totals: capacity of the pool
    :return: wait in ms
    """
    share = 1 if lane == URGENT else BATCH_SLOT_SHARE
    request_count = ahead.request_count + 1
    waiting = max(0, request_count - totals.free * share) / request_count
    slot_hold_ms = (ahead.slot_hold_ms + work.slot_hold_ms) * waiting
    return divide_or_zero(slot_hold_ms, totals.slots * share)


def estimate_limit_wait_ms(
    flow: Flow, queued: QueuedTicket, max_running: int | None
) -> float:
    """
    Return the expected wait caused by a limit on running requests.

    :param max_running: running requests allowed, ``None`` for no limit
    :return: wait in ms
    """
    waiting = flow.backlog.request_count
    if not max_running or flow.running_count + waiting < max_running:
        return 0
    return (waiting + 1) * queued.work.slot_hold_ms / max_running


def _compute_latest_urgent_start_ms(
    ticket: Ticket, first_token_ms: float
) -> int:
    first_token_due_ms = ticket.rule.first_token_ms
    max_wait_ms = max(
        first_token_due_ms - first_token_ms,
        first_token_due_ms * MIN_FIRST_TOKEN_WAIT_SHARE,
    )
    return ticket.arrived_ms + round(max_wait_ms)
