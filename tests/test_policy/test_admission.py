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


def test_rejects_at_once_a_request_that_cannot_meet_its_deadline():
    queue = make_queue(make_loads(make_targets(1)))
    rejection = None
    for number in range(1000):
        admission = queue.offer(make_ticket(f'r-{number}'), 0)
        if admission.is_err():
            rejection = admission.unwrap_err()
            break
    assert rejection.reason is Refusal.deadline_unreachable
    assert rejection.retry_after_ms > 0


def test_rejects_urgent_requests_without_targets():
    queue = make_queue(make_loads([]))
    admission = queue.offer(make_ticket('r'), 0)
    assert admission.unwrap_err().reason is Refusal.no_target


def test_starts_no_more_requests_than_targets_have_slots():
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


def test_expires_a_request_past_its_latest_start():
    queue = make_queue(make_loads(make_targets(1)))
    queue.offer(make_ticket('r'), 0)
    wake_ms = queue.compute_next_wake_ms(10_000)
    late = queue.pop_expired(wake_ms)
    assert [entry.ticket.request_id for entry in late] == ['r']
    assert queue.pop_ready(wake_ms) == []


def start_all(queue, loads, now_ms):
    """Return all startable tickets in their order; each ends at once."""
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
    order = [ticket.rule.workspace for ticket in start_all(queue, loads, 0)]
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
    order = [ticket.rule.priority for ticket in start_all(queue, loads, 0)]
    assert order == [0, 0, 1, 1, 5]


def test_a_concurrency_limit_blocks_only_its_own_flow():
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
    started = queue.pop_ready(0) + queue.pop_ready(0) + queue.pop_ready(0)
    few = [ticket for ticket in started if ticket.rule.workspace == 'few']
    assert len(few) == 1
    assert len(started) == 4
    queue.record_end(few[0], 10)
    assert [ticket.request_id for ticket in queue.pop_ready(10)] == ['few-1']


def test_a_cheap_only_request_moves_to_the_batch_lane_after_its_wait():
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
    assert [ticket.request_id for ticket in queue.pop_ready(20_500)] == [
        'ledger'
    ]
    loads.tick(21_000)
    (ticket,) = queue.pop_ready(21_000)
    assert ticket.request_id == 'later'
    assert ticket.cheap_only


def test_a_withdrawn_request_is_neither_started_nor_expired():
    queue = make_queue(make_loads(make_targets(1)))
    ticket = make_ticket('r')
    queue.offer(ticket, 0)
    assert queue.withdraw(ticket, 1)
    assert not queue.withdraw(ticket, 1)
    assert queue.pop_ready(1) == []
    assert queue.sum_backlog(ticket.pool).request_count == 0
    assert queue.pop_expired(100_000) == []


class Driver:
    """Applies random steps to a queue and counts the ends of each ticket."""

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

    def start(self, choice):
        self.running += self.queue.pop_ready(self.now_ms)

    def end(self, choice):
        if self.running:
            ticket = self.running.pop(0)
            self.queue.record_end(ticket, self.now_ms)
            self.ended[ticket.request_id] += 1

    def disconnect(self, choice):
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
                ['offer', 'offer', 'start', 'end', 'disconnect', 'expire']
            ),
            st.integers(0, 5),
            st.integers(0, 400),
        ),
        max_size=120,
    )
)
def test_each_request_ends_exactly_once(steps):
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
