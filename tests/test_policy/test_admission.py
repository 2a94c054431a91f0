from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

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
    assert [ticket.request_id for ticket in queue.pop_ready(0)] == ['big-0']
    assert queue.offer(make_ticket('small-0'), 1).is_ok()
    assert [ticket.request_id for ticket in queue.pop_ready(1)] == ['small-0']


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
    while tickets := queue.pop_ready(0):
        taken += len(tickets)
        for ticket in tickets:
            attempt = make_attempt(ticket.request_id, prefill=10)
            loads.record_sent('engine-0', attempt, 0)
    assert taken == loads.get_state('engine-0').speed.slots


def test_expires_what_waited_too_long():
    queue = make_queue(make_loads(make_targets(1)))
    queue.offer(make_ticket('r'), 0)
    wake_ms = queue.compute_next_wake_ms(10_000)
    late = queue.pop_expired(wake_ms)
    assert [entry.ticket.request_id for entry in late] == ['r']
    assert queue.pop_ready(wake_ms) == []


def drain(queue, loads, now_ms):
    """Take one ticket at a time, ending each at once."""
    order = []
    while tickets := queue.pop_ready(now_ms):
        for ticket in tickets:
            queue.record_end(ticket, now_ms)
            order.append(ticket)
    return order


def test_shares_follow_weights():
    loads = make_loads(make_targets(1))
    queue = make_queue(loads)
    for number in range(30):
        for name, weight in (('one', 1), ('three', 3)):
            ticket = make_ticket(
                f'{name}-{number}',
                workspace=name,
                weight=weight,
                first_token_ms=60_000,
            )
            assert queue.offer(ticket, 0).is_ok()
    order = [ticket.rule.workspace for ticket in drain(queue, loads, 0)]
    assert len(order) == 60
    assert 27 <= order[:40].count('three') <= 31


def test_better_priorities_go_first():
    loads = make_loads(make_targets(1))
    queue = make_queue(loads)
    for number, priority in enumerate((1, 0, 5, 0, 1)):
        ticket = make_ticket(
            f'r{number}', workspace=f'w{number}', priority=priority
        )
        queue.offer(ticket, 0)
    order = [ticket.rule.priority for ticket in drain(queue, loads, 0)]
    assert order == [0, 0, 1, 1, 5]


def test_a_limit_on_open_requests_holds_only_its_own_flow():
    loads = make_loads(make_targets(3))
    queue = make_queue(loads)
    for number in range(3):
        queue.offer(
            make_ticket(
                f'few-{number}',
                workspace='few',
                max_concurrent=1,
                first_token_ms=60_000,
            ),
            0,
        )
        queue.offer(make_ticket(f'many-{number}', workspace='many'), 0)
    first = queue.pop_ready(0) + queue.pop_ready(0) + queue.pop_ready(0)
    few = [one for one in first if one.rule.workspace == 'few']
    assert len(few) == 1
    assert len(first) == 4
    queue.record_end(few[0], 10)
    assert [one.request_id for one in queue.pop_ready(10)] == ['few-1']


def test_work_for_cheap_targets_waits_for_them_and_then_goes_on():
    targets = make_targets(1) + [
        row for row in make_targets(2, reclaimable=True) if row.zone == 'b'
    ]
    loads = make_loads(targets)
    loads.record_crash('engine-1', 0)
    queue = make_queue(loads)
    rule = {'priority': 3, 'cheap_only_until_ms': 20_000}
    queue.offer(make_ticket('ledger', **rule), 0)
    queue.offer(make_ticket('later', now_ms=5000, **rule), 5000)
    assert queue.pop_ready(6000) == []
    assert [one.request_id for one in queue.pop_ready(20_500)] == ['ledger']
    loads.tick(21_000)
    (cheap,) = queue.pop_ready(21_000)
    assert cheap.request_id == 'later'
    assert cheap.cheap_only


def test_a_withdrawn_ticket_leaves_no_trace():
    queue = make_queue(make_loads(make_targets(1)))
    ticket = make_ticket('r')
    queue.offer(ticket, 0)
    assert queue.withdraw(ticket, 1)
    assert not queue.withdraw(ticket, 1)
    assert queue.pop_ready(1) == []
    assert queue.sum_backlog(ticket.pool).request_count == 0
    assert queue.pop_expired(100_000) == []


class Driver:
    """Drives a queue by random steps and counts how tickets end."""

    def __init__(self):
        self.queue = make_queue(make_loads(make_targets(2)))
        self.now_ms = 0
        self.offered = {}
        self.running = []
        self.ended = Counter()

    def offer(self, choice):
        ticket = make_ticket(
            f'r{len(self.offered)}-{self.now_ms}-{choice}',
            workspace=f'w{choice}',
            now_ms=self.now_ms,
            priority=choice,
            max_concurrent=choice % 3,
        )
        if self.queue.offer(ticket, self.now_ms).is_ok():
            self.offered[ticket.request_id] = ticket

    def take(self, choice):
        self.running += self.queue.pop_ready(self.now_ms)

    def end(self, choice):
        if self.running:
            ticket = self.running.pop(0)
            self.queue.record_end(ticket, self.now_ms)
            self.ended[ticket.request_id] += 1

    def leave(self, choice):
        if self.offered:
            ticket = list(self.offered.values())[choice % len(self.offered)]
            if self.queue.withdraw(ticket, self.now_ms):
                self.ended[ticket.request_id] += 1

    def expire(self, choice):
        for late in self.queue.pop_expired(self.now_ms):
            self.ended[late.ticket.request_id] += 1


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(
                ['offer', 'offer', 'take', 'end', 'leave', 'expire']
            ),
            st.integers(0, 5),
            st.integers(0, 400),
        ),
        max_size=120,
    )
)
def test_each_ticket_ends_once(steps):
    driver = Driver()
    for step, choice, wait_ms in steps:
        driver.now_ms += wait_ms
        getattr(driver, step)(choice)
    driver.now_ms += 1_000_000
    driver.expire(0)
    while driver.running:
        driver.end(0)
    assert driver.ended.keys() == driver.offered.keys()
    assert set(driver.ended.values()) <= {1}
    assert driver.queue.sum_backlog('engines').request_count == 0
    assert driver.queue.pop_ready(driver.now_ms) == []
