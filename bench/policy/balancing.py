"""
Compares rules that choose targets by loads of some age, without a network.

``python -m bench.policy.balancing [--seed 7] [--requests 6000]``

docs/design/balanced-load.md describes the rules and has the table.
"""

import argparse
from collections import defaultdict
from concurrent.futures import ProcessPoolExecutor
from heapq import heappop, heappush
from itertools import count, product
from math import exp
from random import Random
from statistics import mean

from cicadahoist.policy.balancing.level_shares import (
    TargetLoad,
    compute_level_shares,
    draw_by_share,
)
from cicadahoist.policy.balancing.slot_home import SlotHome
from cicadahoist.policy.balancing.slot_messages import (
    Ask,
    Candidate,
    Holding,
    SlotMessage,
)

LOAD = 0.8
# Targets, requests that each runs at once, length of its queue, time of one.
# The last two are the plain services and the prefills of a deployment, whose
# slots share one processor.
POOLS = {
    '3x6': (3, 6, 24, 33),
    '9x6': (9, 6, 0, 150),
    '45x64': (45, 64, 0, 500),
    'plain': (3, 1, 29, 33),
    'prefill': (9, 1, 5, 32),
}
# Slots that the targets of these pools list.
LISTED_SLOTS = {'plain': 6, 'prefill': 6}
NOISY_POOL = 'plain'
NOISE_FACTOR = 2.5
NOISE_MS = 600
NOISE_PERIOD_MS = 4000
AGES_MS = (50, 200, 800)
CHOOSERS = (6, 70, 195)
SAMPLE_MS = 20
ROUND_TRIP_MS = 4
OBJECTIVE_MS = 185
GOLDEN_SHARE = 0.618034


class Model:
    """Targets with slots and queues, and choosers whose loads are old."""

    def __init__(self, pool, age_ms, choosers, is_equal, seed):
        self.random = Random(f'{pool} {choosers} {is_equal} {seed}')
        self.targets, self.slots, self.queue, self.request_ms = POOLS[pool]
        self.age_ms, self.choosers = age_ms, choosers
        self.speeds = [
            1 if is_equal else 0.55 if j % 4 == 3 else 1.2
            for j in range(self.targets)
        ]
        self.open = [0] * self.targets
        self.waiting = [[] for _ in self.open]
        self.own = [[0] * self.targets for _ in range(choosers)]
        self.seen_own = [[0] * self.targets for _ in range(choosers)]
        self.seen = [0] * self.targets
        self.sent = [[0] * self.targets for _ in range(choosers)]
        self.turns = [self.random.randrange(9999) for _ in range(choosers)]
        self.is_noisy = pool == NOISY_POOL
        self.usual_ms = self.request_ms
        self.times = [[self.request_ms] * self.targets for _ in self.own]
        self.rejected = 0
        self.waits, self.spreads = [], []
        self.events, self.numbers = [], count()

    def run(self, rule, requests):
        rate = LOAD * self.slots * sum(self.speeds) / self.request_ms
        now = 0
        for _ in range(requests):
            now += self.random.expovariate(rate)
            self._push(now, self._arrive, rule)
        for sample in range(10, int(now / SAMPLE_MS)):
            self._push(sample * SAMPLE_MS, self._sample)
        while self.events:
            now, _, action, arguments = heappop(self.events)
            action(now, *arguments)
        self.waits.sort()
        return (
            self.rejected / requests,
            self.waits[int(0.99 * len(self.waits))],
            mean(self.spreads),
        )

    def peers(self, i, j):
        return self.seen[j] - self.seen_own[i][j]

    def known(self, i, j):
        return self.own[i][j] + self.peers(i, j)

    def loads(self, i):
        return [
            TargetLoad(
                own_count=self.own[i][j],
                peer_count=self.peers(i, j),
                slots=self.slots,
                slowness=1 / self.speeds[j],
            )
            for j in range(self.targets)
        ]

    def _push(self, due, action, *arguments):
        heappush(self.events, (due, next(self.numbers), action, arguments))

    def _arrive(self, now, rule):
        i = self.random.randrange(self.choosers)
        j = rule(self, i)
        if self.open[j] >= self.slots + self.queue:
            self.rejected += 1
            return
        self._change(now, i, j, 1)
        if self.open[j] > self.slots:
            self.waiting[j].append((now, i))
        else:
            self._begin(now, now, i, j)

    def _begin(self, now, arrived, i, j):
        self.waits.append(now - arrived)
        took = self.request_ms * self.random.uniform(0.66, 1.34)
        if self.is_noisy and (now + 1300 * j) % NOISE_PERIOD_MS < NOISE_MS:
            took *= NOISE_FACTOR
        end = now + took / self.speeds[j]
        self._push(end, self._end, arrived, i, j)

    def _end(self, now, arrived, i, j):
        self.usual_ms += 0.02 * (now - arrived - self.usual_ms)
        self.times[i][j] += 0.3 * (now - arrived - self.times[i][j])
        self._change(now, i, j, -1)
        if self.waiting[j]:
            self._begin(now, *self.waiting[j].pop(0), j)

    def _change(self, now, i, j, step):
        self.open[j] += step
        self.own[i][j] += step
        self.sent[i][j] += step > 0
        if self.age_ms:
            self._push(now + self.age_ms, self._learn, i, j, step)
        else:
            self._learn(now, i, j, step)

    def _learn(self, now, i, j, step):
        self.seen[j] += step
        self.seen_own[i][j] += step
        self.sent[i][j] -= step > 0

    def _sample(self, now):
        loads = [n / s for n, s in zip(self.open, self.speeds, strict=True)]
        if any(loads):
            self.spreads.append(max(loads) / mean(loads))


class HomeModel(Model):
    """Choosers that ask a home for a slot, and wait until there is one."""

    def __init__(self, pool, *options):
        super().__init__(pool, *options)
        self.home = SlotHome()
        self.holdings = [{} for _ in self.own]
        self.asked = {}
        slots = LISTED_SLOTS.get(pool, self.slots)
        self.candidates = tuple(
            Candidate(str(j), slots, round(self.request_ms / speed))
            for j, speed in enumerate(self.speeds)
        )

    def _arrive(self, now, rule):
        i, number = self.random.randrange(self.choosers), next(self.numbers)
        self.asked[number] = now
        self.holdings[i][number] = Holding(number, 'pool')
        ask = Ask(number, 'pool', OBJECTIVE_MS, self.candidates)
        self._state(now, i, (ask,))

    def _state(self, now, i, asks=()):
        holdings = tuple(self.holdings[i].values())
        sequence = next(self.numbers)
        message = SlotMessage(str(i), 'service', sequence, asks, holdings)
        self._push(now + ROUND_TRIP_MS / 2, self._apply, message)

    def _apply(self, now, message):
        for sender, answer in self.home.apply(message, round(now)):
            self._push(
                now + ROUND_TRIP_MS / 2, self._receive, int(sender), answer
            )

    def _receive(self, now, i, answer):
        number = answer.number
        if answer.retry_after_ms:
            self.rejected += 1
            self.holdings[i].pop(number)
            self._state(now, i)
        if not answer.target:
            return
        j = int(answer.target)
        if self.open[j] >= self.slots + self.queue:
            self.rejected += 1
            self.holdings[i].pop(number)
            self._state(now, i)
            return
        held = Holding(
            number, 'pool', answer.target, self.candidates[j].cost_ms
        )
        self.holdings[i][number] = held
        self._change(now, i, j, 1)
        if self.open[j] > self.slots:
            self.waiting[j].append((self.asked[number], i))
        else:
            self._begin(now, self.asked[number], i, j)

    def _end(self, now, arrived, i, j):
        super()._end(now, arrived, i, j)
        number = next(
            number
            for number, held in self.holdings[i].items()
            if held.target == str(j)
        )
        self.holdings[i].pop(number)
        self._state(now, i)


def least(model, candidates, weigh):
    """Return the candidate of the lowest weight, ties by chance."""
    return min(candidates, key=lambda j: (weigh(j), model.random.random()))


def choose_own(model, i):
    return least(model, range(model.targets), model.own[i].__getitem__)


def choose_sample(model, i, size=3):
    drawn = model.random.sample(range(model.targets), size)
    return least(
        model, drawn, lambda j: (model.known(i, j) + 1) / model.speeds[j]
    )


def choose_two(model, i):
    return choose_sample(model, i, 2)


def choose_two_decayed(model, i):
    average = mean(model.peers(i, j) for j in range(model.targets))
    kept = exp(-model.age_ms / model.usual_ms)

    def weigh(j):
        peers = average + kept * (model.peers(i, j) - average)
        return (model.own[i][j] + peers + 1) / model.speeds[j]

    return least(model, model.random.sample(range(model.targets), 2), weigh)


def choose_least(model, i):
    return choose_sample(model, i, model.targets)


def choose_in_turn(model, i):
    model.turns[i] += 1
    return model.turns[i] % model.targets


def choose_with_sends(model, i):
    """Take the own sends since the report for those of all choosers."""
    return least(
        model,
        range(model.targets),
        lambda j: (
            (model.known(i, j) + model.choosers * model.sent[i][j] + 1)
            / model.speeds[j]
        ),
    )


def choose_by_times(model, i):
    return least(
        model,
        range(model.targets),
        lambda j: (model.own[i][j] + 1) * model.times[i][j],
    )


def choose_by_shares(model, i):
    shares = compute_level_shares(model.loads(i), model.age_ms, model.usual_ms)
    return draw_by_share(shares, model.random.random())


def choose_by_shares_in_turn(model, i):
    """Draw by points that are spread evenly over the own requests."""
    shares = compute_level_shares(model.loads(i), model.age_ms, model.usual_ms)
    model.turns[i] += 1
    return draw_by_share(shares, model.turns[i] * GOLDEN_SHARE % 1)


def choose_room_by_shares(model, i):
    """Draw among targets with a free slot, as far as known."""
    loads = model.loads(i)
    with_room = [
        j for j in range(model.targets) if model.known(i, j) < model.slots
    ]
    names = with_room or range(model.targets)
    shares = compute_level_shares(
        [loads[j] for j in names], model.age_ms, model.usual_ms
    )
    return names[draw_by_share(shares, model.random.random())]


def choose_two_by_shares(model, i):
    shares = compute_level_shares(model.loads(i), model.age_ms, model.usual_ms)
    drawn = {draw_by_share(shares, model.random.random()) for _ in range(2)}
    return least(
        model, drawn, lambda j: (model.known(i, j) + 1) / model.speeds[j]
    )


RULES = {
    'own attempts (today, plain)': choose_own,
    'sample of three (today, engines)': choose_sample,
    'least known load': choose_least,
    'two choices': choose_two,
    'two choices, decayed': choose_two_decayed,
    'rotation': choose_in_turn,
    'own sends times choosers': choose_with_sends,
    'response times': choose_by_times,
    'level shares': choose_by_shares,
    'level shares, in turn': choose_by_shares_in_turn,
    'level shares among free': choose_room_by_shares,
    'two by level shares': choose_two_by_shares,
    'grants of a home': None,
    'perfect information': choose_least,
}
AGE_BY_RULE = {'perfect information': 0}


def play(rule, pool, age_ms, choosers, is_equal, seed, requests):
    age_ms = AGE_BY_RULE.get(rule, age_ms)
    model_class = Model if RULES[rule] else HomeModel
    model = model_class(pool, age_ms, choosers, is_equal, seed)
    return model.run(RULES[rule], requests)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=7)
    parser.add_argument('--requests', type=int, default=6000)
    parser.add_argument('--by', default='pool', help='pool, age or choosers')
    parser.add_argument('--workers', type=int, default=3)
    given = parser.parse_args()
    cells = list(product(RULES, POOLS, AGES_MS, CHOOSERS, (True, False)))
    columns = [
        *zip(*cells, strict=True),
        [given.seed] * len(cells),
        [given.requests] * len(cells),
    ]
    with ProcessPoolExecutor(given.workers) as workers:
        played = list(workers.map(play, *columns, chunksize=8))
    key_index = {'pool': 1, 'age': 2, 'choosers': 3}[given.by]
    grouped = defaultdict(list)
    for cell, scores in zip(cells, played, strict=True):
        grouped[cell[0], cell[key_index]].append(scores)
    keys = list(dict.fromkeys(cell[key_index] for cell in cells))
    print('| rule |', ' | '.join(map(str, keys)), '|')
    print('|---' * (len(keys) + 1) + '|')
    for rule in RULES:
        texts = []
        for key in keys:
            shares, waits, spreads = zip(*grouped[rule, key], strict=True)
            texts.append(
                f'{mean(shares):.3f}, {mean(waits):.0f}, {mean(spreads):.2f}'
            )
        print(f'| {rule} |', ' | '.join(texts), '|')


if __name__ == '__main__':
    main()
