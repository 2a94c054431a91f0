"""
Requests that may not be repeated, under claims in the store.

A caller retries after a lost answer, at any entry, while the store or a target
may fail. These tests guard against a second run and against an outcome that is
reported wrongly.
"""

import pytest

from cicadahoist.errors import StoreBusyError
from cicadahoist.reasons import Retry
from cicadahoist.standin.faults import Fault
from cicadahoist.standin.memory import Cut
from tests.test_entry.test_failures import count_runs
from tests.test_entry.world import World, decode_error


def send_filing(world, key='filing-1', body=b'return', entry=0):
    return world.send(
        'POST',
        '/services/filing/returns',
        body,
        headers={'Idempotency-Key': key},
        entry=entry,
    )


def test_retry_through_any_entry_gets_the_recorded_answer():
    world = World(entries=2)
    first = world.finish(send_filing(world))
    second = world.finish(send_filing(world, entry=1))
    assert first.status == second.status == 200
    assert first.body == second.body
    assert count_runs(world) == 1


def test_concurrent_retries_run_once():
    world = World(entries=2)
    for service in world.services.values():
        service.set_fault(Fault(kind='slow', delay_ms=500))
    answers = [send_filing(world, entry=entry) for entry in (0, 1, 0, 1)]
    for answer in answers:
        world.finish(answer)
    world.net.advance(2000)
    assert count_runs(world) == 1
    outcomes = sorted(answer.status for answer in answers)
    assert outcomes == [200, 409, 409, 409]
    refused = next(answer for answer in answers if answer.status == 409)
    assert decode_error(refused)['outcome'] == 'unknown'
    assert decode_error(refused)['code'] == 'claim-in-progress'
    assert refused.headers.hasHeader('Retry-After')


def test_idempotency_key_with_another_body_is_refused():
    world = World()
    world.finish(send_filing(world))
    answer = world.finish(send_filing(world, body=b'other'))
    assert decode_error(answer)['code'] == 'claim-body-differs'
    assert count_runs(world) == 1


def test_two_workspaces_may_use_the_same_key():
    world = World()
    rows = world.rows()
    rows.rules.extend(
        [
            type(rule)(workspace='pilbara', route=rule.route)
            for rule in rows.rules
        ]
    )
    world.apply(rows)
    world.finish(send_filing(world))
    answer = world.finish(
        world.send(
            'POST',
            '/services/filing/returns',
            b'other',
            key='key-of-pilbara',
            headers={'Idempotency-Key': 'filing-1'},
        )
    )
    assert answer.status == 200
    assert count_runs(world) == 2


def test_with_the_store_away_it_does_not_run():
    world = World()
    world.objects.faults.outage = True
    answer = world.finish(send_filing(world))
    assert decode_error(answer)['code'] == 'claim-store-away'
    assert decode_error(answer)['outcome'] == 'not-run'
    assert count_runs(world) == 0
    world.objects.faults.outage = False
    world.net.advance(5000)
    assert count_runs(world) == 0


@pytest.mark.parametrize('lost_count', [1, 2])
def test_lost_store_answers_do_not_repeat_the_call(lost_count):
    world = World()
    world.objects.faults.lose_next = lost_count
    first = world.finish(send_filing(world))
    second = world.finish(send_filing(world))
    assert first.status == 200
    assert second.body == first.body
    assert count_runs(world) == 1


def test_claim_stays_when_store_answers_are_cut_off():
    world = World(entries=2)
    world.entries[0].store.cut = Cut.answers
    first = world.finish(send_filing(world))
    assert decode_error(first)['outcome'] == 'not-run'
    world.finish(send_filing(world, entry=1))
    world.net.advance(5000)
    assert count_runs(world) <= 1


def test_call_to_a_busy_store_is_retried_and_counted():
    world = World()
    store = world.entries[0].store
    write = store.write
    calls = []

    class BusyOnce:
        read = store.read
        remove = store.remove

        async def write(self, name, payload, expected):
            calls.append(name)
            if len(calls) == 1:
                raise StoreBusyError('rate limit', remedy='send fewer calls')
            return await write(name, payload, expected)

    world.entries[0].context.store = BusyOnce()
    answer = world.finish(send_filing(world))
    assert answer.status == 200
    assert count_runs(world) == 1
    assert world.entries[0].metrics.counted_reasons == [Retry.store_busy]


def test_call_whose_caller_disconnected_is_recorded():
    world = World()
    for service in world.services.values():
        service.set_fault(Fault(kind='slow', delay_ms=500))
    answer = send_filing(world)
    world.net.advance(50)
    assert not answer.status
    world.entries[0].host.pumps[0].clientIO.abortConnection()
    world.net.advance(1000)
    second = world.finish(send_filing(world))
    assert second.status == 200
    assert count_runs(world) == 1


def test_call_that_did_not_run_may_be_retried_with_its_key():
    world = World()
    hosts = [world.net.hosts[f'{name}:80'] for name in world.services]
    for host in hosts:
        host.is_up = False
    refused = world.finish(send_filing(world))
    assert decode_error(refused)['outcome'] == 'not-run'
    for host in hosts:
        host.is_up = True
    world.net.advance(5000)
    assert world.finish(send_filing(world)).status == 200
    assert count_runs(world) == 1


def test_retry_after_a_lost_outcome_never_runs():
    world = World()
    for service in world.services.values():
        service.set_fault(Fault(kind='lose-answer'))
    first = world.finish(send_filing(world))
    for service in world.services.values():
        service.set_fault(Fault(kind='none'))
    second = world.finish(send_filing(world))
    assert decode_error(first)['outcome'] == 'unknown'
    assert decode_error(second)['outcome'] == 'unknown'
    assert count_runs(world) == 1


def send_claimed_chat(world, stream, entry=0):
    return world.chat(
        'once-model',
        tokens=30,
        stream=stream,
        entry=entry,
        headers={'Idempotency-Key': 'ask-1'},
    )


def count_attempts(world):
    return sum(len(each.seen().attempts) for each in world.engines.values())


@pytest.mark.parametrize('stream', [True, False])
def test_answer_of_an_unrepeatable_model_request_is_replayed(stream):
    world = World(entries=2)
    first = world.finish(send_claimed_chat(world, stream))
    second = world.finish(send_claimed_chat(world, stream, entry=1))
    assert first.body == second.body
    assert count_attempts(world) == 1


def test_claimed_stream_whose_caller_disconnected_is_replayed_complete():
    world = World(entries=2)
    first = send_claimed_chat(world, stream=True)
    world.net.until(lambda: len(first.body) > 500)
    first.leave()
    world.net.advance(2000)
    second = world.finish(send_claimed_chat(world, stream=True, entry=1))
    assert second.body.startswith(first.body)
    assert second.body.endswith(b'data: [DONE]\n\n')
    assert count_attempts(world) == 1


def test_claimed_stream_whose_engine_died_never_runs_again():
    world = World(engines=2)
    first = send_claimed_chat(world, stream=True)
    world.net.until(lambda: len(first.body) > 500)
    for name, server in world.engines.items():
        if server.seen().attempts:
            world.kill(name)
    world.finish(first)
    assert b'"outcome":"unknown"' in first.body
    second = world.finish(send_claimed_chat(world, stream=True))
    assert decode_error(second)['outcome'] == 'unknown'
    assert count_attempts(world) == 1
