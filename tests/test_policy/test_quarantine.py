from random import Random

import pytest

from cicadahoist.messages import Blame, Quarantined
from cicadahoist.policy.quarantine import Quarantine

TARGETS = [f'engine-{number}' for number in range(6)]
LAG_MS = 500
STEP_MS = 100
RUN_MS = 400


class Fleet:
    """Entries that send bodies to targets, which one body crashes."""

    def __init__(self, seed, entries=3):
        self.random = Random(seed)
        self.entries = [Quarantine(f'entry-{n}') for n in range(entries)]
        self.now_ms = 0
        self.lost = []
        self.running = []
        self.held = []
        self.on_the_way = []
        self.quarantined = set()

    def live(self):
        return [name for name in TARGETS if name not in self.lost]

    def tell(self, sender, messages):
        for message in messages:
            if isinstance(message, Quarantined):
                self.quarantined.add(message.digest)
            self.on_the_way.append((self.now_ms + LAG_MS, sender, message))

    def send(self, digest):
        entry = self.random.choice(self.entries)
        if entry.compute_refusal_ms(digest, self.now_ms):
            return
        allowed = sorted(
            set(self.live()) - entry.find_excluded_targets(digest, self.now_ms)
        )
        if not allowed:
            return
        target = self.random.choice(allowed)
        if entry.is_suspect(digest):
            claim = entry.claim(digest, target, self.now_ms)
            if claim is not None:
                self.tell(entry, [claim])
                self.held.append((entry, digest, target))
        else:
            self.running.append((self.now_ms, entry, digest, target))

    def step(self):
        self.now_ms += STEP_MS
        due = [entry for entry in self.on_the_way if entry[0] <= self.now_ms]
        self.on_the_way = [one for one in self.on_the_way if one not in due]
        for _, sender, message in due:
            for entry in self.entries:
                if entry is not sender:
                    entry.apply(message, self.now_ms)
        for entry in self.entries:
            self.tell(entry, entry.tick(self.now_ms))
        self.start_held()
        self.end_runs()

    def start_held(self):
        for held in list(self.held):
            entry, digest, target = held
            if entry.compute_claim_wait_ms(digest, self.now_ms):
                continue
            self.held.remove(held)
            refused = entry.compute_refusal_ms(digest, self.now_ms)
            if refused or not entry.may_start(digest, self.now_ms):
                self.release(entry, digest)
            else:
                self.running.append((self.now_ms, entry, digest, target))

    def release(self, entry, digest, *, is_complete=False):
        message = entry.release(digest, self.now_ms, is_complete=is_complete)
        if message is not None:
            self.tell(entry, [message])

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
        self.lost.append(target)
        hit = [run for run in self.running if run[3] == target]
        self.running = [run for run in self.running if run[3] != target]
        for entry in self.entries:
            digests = sorted({run[2] for run in hit if run[1] is entry})
            self.tell(
                entry, entry.record_target_crash(target, digests, self.now_ms)
            )
            for digest in digests:
                self.release(entry, digest)


@pytest.mark.parametrize('seed', range(30))
def test_poison_costs_two_targets_and_no_neighbour(seed):
    fleet = Fleet(seed)
    numbers = iter(range(10_000))
    fleet.send('poison')
    for tick in range(600):
        fleet.send(f'innocent-{next(numbers) // 3}')
        fleet.send(f'innocent-{next(numbers) // 3}')
        if tick % 20 == 19:
            fleet.send('poison')
        fleet.step()
    assert len(fleet.lost) == 2
    assert fleet.quarantined == {'poison'}


def test_the_loss_of_a_zone_quarantines_nobody():
    quarantine = Quarantine()
    quarantine.record_target_crash('engine-0', ['common', 'first'], 0)
    quarantine.record_target_crash('engine-1', ['common', 'second'], 300)
    assert quarantine.tick(10_000) == []


def test_two_blames_alone_quarantine_everywhere():
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


def test_neighbours_in_the_same_two_crashes_are_not_told_apart():
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
