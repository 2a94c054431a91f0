from random import Random

import pytest

from cicadahoist.messages import Blame, Quarantined
from cicadahoist.policy.quarantine import Quarantine

TARGETS = [f'engine-{number}' for number in range(6)]
LAG_MS = 500
STEP_MS = 100
RUN_MS = 400


class Fleet:
    """Entries that send bodies to targets; the body ``poison`` crashes them."""

    def __init__(self, seed, entries=3):
        self.random = Random(seed)
        self.entries = [Quarantine(f'entry-{n}') for n in range(entries)]
        self.now_ms = 0
        self.crashed_targets = []
        self.running = []
        self.waiting_claims = []
        self.in_flight = []
        self.quarantined = set()

    def list_live_targets(self):
        return [name for name in TARGETS if name not in self.crashed_targets]

    def broadcast(self, sender, messages):
        for message in messages:
            if isinstance(message, Quarantined):
                self.quarantined.add(message.digest)
            self.in_flight.append((self.now_ms + LAG_MS, sender, message))

    def send(self, digest):
        entry = self.random.choice(self.entries)
        if entry.compute_refusal_ms(digest, self.now_ms):
            return
        allowed = sorted(
            set(self.list_live_targets())
            - entry.find_excluded_targets(digest, self.now_ms)
        )
        if not allowed:
            return
        target = self.random.choice(allowed)
        if entry.is_suspect(digest):
            claim = entry.claim(digest, target, self.now_ms)
            if claim is not None:
                self.broadcast(entry, [claim])
                self.waiting_claims.append((entry, digest, target))
        else:
            self.running.append((self.now_ms, entry, digest, target))

    def step(self):
        self.now_ms += STEP_MS
        due = [
            message for message in self.in_flight if message[0] <= self.now_ms
        ]
        self.in_flight = [
            message for message in self.in_flight if message not in due
        ]
        for _, sender, message in due:
            for entry in self.entries:
                if entry is not sender:
                    entry.apply(message, self.now_ms)
        for entry in self.entries:
            self.broadcast(entry, entry.tick(self.now_ms))
        self.start_waiting()
        self.end_runs()

    def start_waiting(self):
        for waiting_claim in list(self.waiting_claims):
            entry, digest, target = waiting_claim
            if entry.compute_claim_wait_ms(digest, self.now_ms):
                continue
            self.waiting_claims.remove(waiting_claim)
            refused = entry.compute_refusal_ms(digest, self.now_ms)
            if refused or not entry.may_start(digest, self.now_ms):
                self.release(entry, digest)
            else:
                self.running.append((self.now_ms, entry, digest, target))

    def release(self, entry, digest, *, is_complete=False):
        message = entry.release(digest, self.now_ms, is_complete=is_complete)
        if message is not None:
            self.broadcast(entry, [message])

    def end_runs(self):
        for run in list(self.running):
            if run not in self.running or self.now_ms - run[0] < RUN_MS:
                continue
            if run[2] == 'poison':
                self.crash(run[3])
            else:
                self.running.remove(run)
                self.release(run[1], run[2], is_complete=True)

    def crash(self, target):
        self.crashed_targets.append(target)
        lost_runs = [run for run in self.running if run[3] == target]
        self.running = [run for run in self.running if run[3] != target]
        for entry in self.entries:
            digests = sorted({run[2] for run in lost_runs if run[1] is entry})
            self.broadcast(
                entry, entry.record_target_crash(target, digests, self.now_ms)
            )
            for digest in digests:
                self.release(entry, digest)


@pytest.mark.parametrize('seed', range(30))
def test_a_poison_body_costs_two_targets_and_quarantines_no_other_body(seed):
    fleet = Fleet(seed)
    numbers = iter(range(10_000))
    fleet.send('poison')
    for tick in range(600):
        fleet.send(f'innocent-{next(numbers) // 3}')
        fleet.send(f'innocent-{next(numbers) // 3}')
        if tick % 20 == 19:
            fleet.send('poison')
        fleet.step()
    assert len(fleet.crashed_targets) == 2
    assert fleet.quarantined == {'poison'}


def test_the_loss_of_a_zone_quarantines_no_body():
    quarantine = Quarantine()
    quarantine.record_target_crash('engine-0', ['common', 'first'], 0)
    quarantine.record_target_crash('engine-1', ['common', 'second'], 300)
    assert quarantine.tick(10_000) == []


def test_two_crashes_of_a_body_running_alone_quarantine_it_at_all_entries():
    quarantine = Quarantine()
    quarantine.apply(Blame(digest='bad', target='engine-0', alone=True), 0)
    quarantine.apply(Blame(digest='bad', target='engine-0', alone=True), 5000)
    assert quarantine.tick(9000) == []
    quarantine.record_target_crash('engine-1', ['bad'], 10_000)
    (found,) = quarantine.tick(12_000)
    other = Quarantine()
    other.apply(found, 12_500)
    assert other.compute_refusal_ms('bad', 13_000) > 0
    assert not other.compute_refusal_ms('bad', 12_500 + found.for_ms)


def test_bodies_that_shared_both_crashes_stay_suspects():
    quarantine = Quarantine()
    quarantine.record_target_crash('engine-0', ['bad', 'good'], 0)
    quarantine.record_target_crash('engine-1', ['bad', 'good'], 5000)
    assert quarantine.tick(10_000) == []
    assert quarantine.find_excluded_targets('bad', 10_000) == {
        'engine-0',
        'engine-1',
    }
    quarantine.record_target_crash('engine-2', ['bad'], 20_000)
    assert [found.digest for found in quarantine.tick(22_000)] == ['bad']
