"""Slots of services with few of them, granted between instances."""

from random import Random

import msgspec
import pytest

from cicadahoist.ids import rendezvous
from cicadahoist.metrics import SLOTS_CHOSEN_ALONE, TARGET_REJECTIONS
from cicadahoist.serving.slot_exchange import ANSWER_TIMEOUT_MS, SLOT_MARK
from tests.test_serving.test_load_exchange import create_deployment
from tests.test_serving.world import prompt_headers, target

FLEET = 16
TARGETS = ['t1', 't2', 't3']


def limit_slots(listing, count):
    return msgspec.structs.replace(listing, slots=count)


def create_fleet(count=FLEET, slots=2):
    """Return instances that have heard each other, and 3 plain targets."""
    network, clock, instances = create_deployment(['a'] * count)
    for instance in instances:
        balances = instance.world.context.fleet.balances
        balances.set_slots_per_instance(2.0)
        instance.world.add(
            *(limit_slots(target(name), slots) for name in TARGETS)
        )
    clock.advance(1000)
    network.datagrams.clear()
    return network, clock, instances


def send_all(clock, instances, count, path=b'/lookup/x', headers=()):
    """Send requests at different instances; return their callers."""
    callers = []
    for number in range(count):
        world = instances[number % len(instances)].world
        callers.append(world.send_request(path, *headers))
        for _ in range(6):
            clock.advance(1)
    return callers


def list_sent(instances):
    return [sent for one in instances for sent in one.world.sent]


def count_slot_datagrams(network):
    return sum(sent.startswith(SLOT_MARK) for sent in network.datagrams)


def test_requests_of_all_instances_take_the_free_slots():
    # Guards against choices by own attempts only, which 16 instances with one
    # request each make at random.
    _, clock, instances = create_fleet()
    send_all(clock, instances, 6)
    names = [sent.target for sent in list_sent(instances)]
    assert [names.count(name) for name in TARGETS] == [2, 2, 2]


def test_a_request_waits_for_a_slot_instead_of_being_rejected():
    _, clock, instances = create_fleet()
    *_, caller = send_all(clock, instances, 7)
    sent = list_sent(instances)
    assert len(sent) == 6
    sent[2].answer()
    for _ in range(6):
        clock.advance(1)
    (late,) = instances[6].world.sent
    assert late.target == sent[2].target
    late.answer(body=b'found')
    assert caller.body == b'found'


def test_a_request_that_no_slot_awaits_in_time_is_refused_unsent():
    # Guards against requests that are sent to full targets and rejected.
    _, clock, instances = create_fleet()
    *_, caller = send_all(clock, instances, 7)
    clock.advance(150 + 2 * ANSWER_TIMEOUT_MS)
    clock.advance(5)
    assert not instances[6].world.sent
    assert caller.status == 503
    assert float(caller.header(b'Retry-After')) > 0


def test_without_a_home_requests_are_sent_by_own_choice():
    network, clock, instances = create_fleet()
    network.drops_all = True
    send_all(clock, instances, FLEET)
    clock.advance(ANSWER_TIMEOUT_MS + 1)
    # One instance is the home itself.
    assert len(list_sent(instances)) >= FLEET - 1
    alone = sum(one.world.count(SLOTS_CHOSEN_ALONE) for one in instances)
    assert alone >= FLEET - 7


@pytest.mark.parametrize(('count', 'ratio'), [(9, 2.0), (FLEET, 0)])
def test_small_fleets_and_those_that_switch_it_off_ask_nobody(count, ratio):
    network, clock, instances = create_fleet(count)
    for instance in instances:
        balances = instance.world.context.fleet.balances
        balances.set_slots_per_instance(ratio)
    instances[0].world.send_request(b'/lookup/x')
    assert len(instances[0].world.sent) == 1
    clock.advance(1000)
    assert not count_slot_datagrams(network)
    loads = instances[1].world.context.fleet.balances.peer_loads
    assert not loads.get_total(instances[0].world.sent[0].target).run_count


def test_open_attempts_at_plain_targets_are_reported_to_peers():
    _, clock, instances = create_fleet()
    send_all(clock, instances[:1], 1)
    (sent,) = list_sent(instances)
    clock.advance(200)
    loads = instances[1].world.context.fleet.balances.peer_loads
    assert loads.get_total(sent.target).run_count == 1
    sent.answer()
    clock.advance(200)
    assert not loads.get_total(sent.target).run_count


def create_engines(slots):
    """Return a fleet with two prefill and two decode engines."""
    network, clock, instances = create_fleet()
    for instance in instances:
        instance.world.add(
            *(
                limit_slots(target(name, 'llm', role, started_ms=1), slots)
                for name, role in (
                    ('p1', 'prefill'),
                    ('p2', 'prefill'),
                    ('d1', 'decode'),
                    ('d2', 'decode'),
                )
            )
        )
    return network, clock, instances


def test_prefills_take_slots_of_their_engines():
    # Guards against prompts for engines whose slots are all taken: prefills
    # were counted as tokens only.
    _, clock, instances = create_engines(2)
    send_all(clock, instances, 5, b'/ask/x', prompt_headers())
    names = [sent.target for sent in list_sent(instances)]
    assert sorted(names) == ['p1', 'p1', 'p2', 'p2']
    board = instances[0].board
    assert sum(board.get(name).own_load.run_count for name in names) == 2


def test_a_run_goes_to_an_engine_with_a_free_slot_after_its_prefill():
    _, clock, instances = create_engines(1)
    send_all(clock, instances, 2, b'/ask/x', prompt_headers())
    for sent in list_sent(instances):
        sent.answer(body=b'{"kv-handle": "h", "tokens": 9000}')
        for _ in range(6):
            clock.advance(1)
    names = sorted(sent.target for sent in list_sent(instances))
    assert names == ['d1', 'd2', 'p1', 'p2']


def test_a_rejected_request_goes_to_another_target_and_is_counted():
    _, clock, instances = create_fleet()
    (caller,) = send_all(clock, instances, 1)
    first = instances[0].world.sent[0]
    first.reject()
    for _ in range(6):
        clock.advance(1)
    second = instances[0].world.sent[1]
    assert second.target != first.target
    second.answer()
    assert caller.status == 200
    assert instances[0].world.count(TARGET_REJECTIONS) == 1


def test_the_next_home_knows_the_requests_that_run():
    # Guards against targets that are filled twice when the home ends.
    network, clock, instances = create_fleet()
    first = rendezvous('app', [instance.name for instance in instances])[0]
    (home,) = [one for one in instances if one.name == first]
    instances.remove(home)
    send_all(clock, instances, 5, b'/submit/x')
    network.by_port.pop(home.record.port)
    home.stop()
    for _ in range(60):
        clock.advance(10)
    late = instances[5].world
    late.send_request(b'/submit/x')
    for _ in range(10):
        clock.advance(10)
    # It chose alone, as the home did not answer, and asks the next one now.
    late.sent[0].answer()
    send_all(clock, instances[5:6], 2, b'/submit/x')
    assert len(late.sent) == 2
    open_names = [sent.target for sent in list_sent(instances)[:5]]
    assert [*open_names, late.sent[1].target].count(late.sent[1].target) == 2


@pytest.mark.parametrize('seed', range(3))
def test_no_slot_is_lost_in_a_play_with_faults(seed):
    # Guards against slots that stay taken after rejections, broken answers,
    # lost datagrams and callers that leave: the service would stand still.
    network, clock, instances = create_engines(3)
    play_faults(network, clock, instances, Random(seed))
    for one in instances:
        wishes = one.world.context.fleet.balances.slots.wishes.list_all()
        assert not any(at_service.has_open for at_service in wishes)
        loads = [one.board.get(n).own_load for n in ('p1', 'p2', 'd1', 'd2')]
        assert not any(load.run_count for load in loads)
    # Homes that were passed over are asked again after this time.
    for _ in range(40):
        clock.advance(500)
    before = len(list_sent(instances))
    send_all(clock, instances, 6, b'/submit/last')
    assert len(list_sent(instances)) == before + 6
    names = [one.world.sent[-1].target for one in instances[:6]]
    assert [names.count(name) for name in TARGETS] == [2, 2, 2]


def play_faults(network, clock, instances, rng):
    """Send 300 requests beside faults, and end all that are open at last."""
    ended = set()
    for number in range(360):
        network.drops_all = number < 300 and rng.random() < 0.05
        if number < 300:
            send_any(rng.choice(instances).world, number, rng)
        for sent in list_sent(instances):
            is_due = number >= 300 or rng.random() < 0.4
            if sent not in ended and is_due and not sent.is_closed:
                ended.add(sent)
                end_attempt(sent, rng)
        clock.advance(rng.randrange(1, 12) if number < 300 else 50)


def send_any(world, number, rng):
    """Send a request of any kind, whose caller may leave."""
    prefix = rng.choice([b'/submit/', b'/lookup/', b'/ask/'])
    headers = prompt_headers() if prefix == b'/ask/' else ()
    # Requests that differ are not quarantined for the faults of others.
    caller = world.send_request(prefix + b'%d' % number, *headers)
    if rng.random() < 0.1:
        caller.disconnect()


def end_attempt(sent, rng):
    """End an attempt as a target does that works, rejects or fails."""
    fault = rng.random()
    if fault < 0.2:
        sent.reject()
    elif fault < 0.3:
        sent.reset()
    elif sent.header(b'X-Cicadahoist-Serving-Stage') == b'prefill':
        sent.answer(body=b'{"kv-handle": "h", "tokens": 9000}')
    elif sent.target.startswith('d'):
        sent.begin_stream()
        sent.send_events(1, 2)
        sent.end_stream()
    else:
        sent.answer()
