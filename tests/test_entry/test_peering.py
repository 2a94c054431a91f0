"""
Messages between entries: load, drain notices, reports of targets.

Notices may arrive out of order and targets may freeze. These tests guard
against new work on a draining target and against missing reports.
"""

import pytest

from cicadahoist.entry.peering import Peering
from cicadahoist.entry.target_poller import TargetPoller
from cicadahoist.messages import (
    DrainAck,
    DrainNotice,
    InstanceInfo,
    LoadView,
    TargetReports,
)
from tests.test_entry.world import World, decode_events


class FakeView:
    def __init__(self, names) -> None:
        self._names = names

    def zone_live(self):
        return {name: None for name in self._names}

    def not_gone(self):
        return self.zone_live()


class FakeNode:
    """Records the messages that an entry sends."""

    def __init__(self, names) -> None:
        self.info = make_info(names[0])
        self.view = FakeView(names)
        self.sent = []
        self.callbacks = {}

    def subscribe(self, kind, callback) -> None:
        self.callbacks[kind] = callback

    def broadcast(self, message) -> None:
        self.sent.append(message)

    def broadcast_zone(self, message) -> None:
        self.sent.append(message)

    def send_to(self, name, message) -> None:
        self.sent.append((name, message))

    def receive(self, message) -> None:
        self.callbacks[type(message)](make_info('control'), message)


def make_info(name):
    return InstanceInfo(
        name=name, zone='zone-a', address='', port=0, incarnation=f'{name}-1'
    )


@pytest.fixture
def world():
    return World(engines=3)


def start_task(world, task):
    world.net.result(task.start())
    return task


def test_a_drained_target_gets_no_new_work_and_open_work_is_counted(world):
    node = FakeNode(['entry-0'])
    start_task(world, Peering(world.entries[0].context, node))
    answer = world.chat(tokens=100)
    busy = next(name for name in world.engines if count_attempts(world, name))
    notice = DrainNotice(target=busy, order='1.1')
    node.receive(notice)
    recipient, ack = node.sent[-1]
    assert recipient == 'control'
    assert ack == DrainAck(
        target=busy,
        order='1.1',
        instance='entry-0',
        incarnation='entry-0-1',
        open_requests=1,
    )
    attempts_before = count_attempts(world, busy)
    for number in range(20):
        world.finish(world.chat(tokens=1, text=f'question {number}'))
    assert count_attempts(world, busy) == attempts_before
    world.finish(answer)
    assert decode_events(answer)[-1] == '[DONE]'
    node.receive(notice)
    assert node.sent[-1][1].open_requests == 0


def test_cancelled_drain_admits_work_again(world):
    node = FakeNode(['entry-0'])
    start_task(world, Peering(world.entries[0].context, node))
    for name in world.engines:
        node.receive(DrainNotice(target=name, order='1.1'))
    assert world.finish(world.chat(tokens=1)).status == 503
    for name in world.engines:
        node.receive(DrainNotice(target=name, order='1.1', active=False))
    assert world.finish(world.chat(tokens=1)).status == 200


def test_outdated_notice_does_not_end_a_newer_drain(world):
    node = FakeNode(['entry-0'])
    start_task(world, Peering(world.entries[0].context, node))
    for name in world.engines:
        node.receive(DrainNotice(target=name, order='2.1'))
        node.receive(DrainNotice(target=name, order='1.9', active=False))
    assert world.finish(world.chat(tokens=1)).status == 503


def test_load_is_broadcast_to_peers(world):
    node = FakeNode(['entry-0'])
    start_task(world, Peering(world.entries[0].context, node))
    world.chat(tokens=1000)
    world.net.advance(1000)
    views = [view for view in node.sent if isinstance(view, LoadView)]
    assert [count for _, count in views[-1].by_target.values()] == [1]


def test_each_engine_is_polled_by_one_entry_of_its_zone(world):
    names = ['entry-0', 'entry-1', 'entry-2']
    polled = []
    for name in names:
        node = FakeNode([name, *(other for other in names if other != name)])
        start_task(world, TargetPoller(world.entries[0].context, node))
        world.net.advance(100)
        for message in node.sent:
            if isinstance(message, TargetReports):
                polled.extend(message.by_target)
    assert sorted(polled) == sorted(world.engines)


def test_frozen_engine_does_not_delay_the_reports_of_others(world):
    world.net.hosts['engine-1:80'].is_frozen = True
    node = FakeNode(['entry-0'])
    start_task(world, TargetPoller(world.entries[0].context, node))
    world.net.advance(1500)
    (reports,) = node.sent
    assert sorted(reports.by_target) == ['engine-0', 'engine-2']


def count_attempts(world, name):
    return len(world.engines[name].seen().attempts)
