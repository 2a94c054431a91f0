from cicadahoist.reasons import Refusal
from tests.test_policy.helpers import (
    make_attempt,
    make_loads,
    make_queue,
    make_targets,
    make_ticket,
)


def test_small_workspace_goes_before_a_large_backlog():
    queue = make_queue(make_loads(make_targets(1)))
    for number in range(20):
        big = make_ticket(f'big-{number}', workspace='big')
        assert queue.offer(big, 0).is_ok()
    assert [ticket.request for ticket in queue.take(0)] == ['big-0']
    assert queue.offer(make_ticket('small-0'), 1).is_ok()
    assert [ticket.request for ticket in queue.take(1)] == ['small-0']


def test_refuses_at_once_what_cannot_make_its_deadline():
    queue = make_queue(make_loads(make_targets(1)))
    refused = None
    for number in range(1000):
        answer = queue.offer(make_ticket(f'r-{number}'), 0)
        if answer.is_err():
            refused = answer.unwrap_err()
            break
    assert refused.reason is Refusal.deadline_unreachable
    assert refused.retry_after_ms > 0


def test_refuses_urgent_work_without_targets():
    queue = make_queue(make_loads([]))
    answer = queue.offer(make_ticket('r'), 0)
    assert answer.unwrap_err().reason is Refusal.no_target


def test_takes_no_more_than_the_targets_have_room_for():
    loads = make_loads(make_targets(1))
    queue = make_queue(loads)
    taken = 0
    for number in range(100):
        queue.offer(make_ticket(f'r-{number}', prefill=10), 0)
    while tickets := queue.take(0):
        taken += len(tickets)
        for ticket in tickets:
            attempt = make_attempt(ticket.request, prefill=10)
            loads.sent('engine-0', attempt, 0)
    assert taken == loads.state('engine-0').speed.slots


def test_expires_what_waited_too_long():
    queue = make_queue(make_loads(make_targets(1)))
    queue.offer(make_ticket('r'), 0)
    wake_ms = queue.next_wake_ms(10_000)
    late = queue.expired(wake_ms)
    assert [entry.ticket.request for entry in late] == ['r']
    assert queue.take(wake_ms) == []
