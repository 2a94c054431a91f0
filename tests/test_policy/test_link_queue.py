"""
Tests of the estimate of the queue at the link of an instance.

They guard against bytes that count as delivered while they wait.
"""

import pytest

from cicadahoist.policy.link_queue import OVERHEAD_FACTOR, LinkQueue


def test_messages_wait_for_those_before_them():
    link = LinkQueue.from_mbps(8)
    assert link.compute_wait_ms(100) == 0
    link.record_sent(10_000, 100)
    link.record_sent(10_000, 100)
    queue_ms = 20 * OVERHEAD_FACTOR
    assert link.compute_wait_ms(100) == pytest.approx(queue_ms)
    assert link.compute_wait_ms(110) == pytest.approx(queue_ms - 10)


def test_an_idle_link_is_empty_again():
    link = LinkQueue.from_mbps(8)
    link.record_sent(10_000, 100)
    assert link.compute_wait_ms(200) == 0
    link.record_sent(1000, 500)
    assert link.compute_wait_ms(500) == pytest.approx(OVERHEAD_FACTOR)


def test_nothing_waits_at_a_link_of_unknown_bandwidth():
    link = LinkQueue.from_mbps(None)
    link.record_sent(1_000_000, 0)
    assert link.compute_wait_ms(0) == 0
