"""
Test harness: the quota exchanges of many instances on one simulated time.

Instances can be killed, frozen, cut off and started again; datagrams take a few
ms and may be lost. Each instance has its own list of the others.
"""

from heapq import heappop, heappush
from itertools import count
from random import Random

from opentelemetry.sdk.metrics import MeterProvider
from twisted.internet.defer import Deferred

from cicadahoist.clock import MS_PER_S, Clock
from cicadahoist.metrics import Metrics
from cicadahoist.policy.quotas.delegations import compute_rank
from cicadahoist.policy.quotas.limit import QuotaTerms, compute_allowed
from cicadahoist.rules import Quota
from cicadahoist.serving.quota_asks import Receipt
from cicadahoist.serving.quota_exchange import QuotaExchange

METRICS = Metrics(MeterProvider())
TERMS = QuotaTerms()
WORKSPACE = 'w1'
LIST_PERIOD_MS = 3000
PEER_TIMEOUT_MS = 3000
# Instances have a new configuration within this time.
CONFIG_MS = 2000


class Timer:
    """A call that can be cancelled."""

    def __init__(self, action):
        self.action = action

    def cancel(self):
        self.action = None

    def active(self):
        return self.action is not None


class Instance:
    """One process, with its own timers."""

    def __init__(self, fleet, name, zone, number):
        self.fleet = fleet
        self.name = name
        self.zone = zone
        # Time from which it is dead or frozen, none while it runs.
        self.still_ms = None
        self.is_dead = False
        # Instances that it sends its load to.
        self.listed = set()
        self.delayed = []
        self.clock = Clock(self, lambda: fleet.now_ms)
        self.quotas = QuotaExchange(self.clock, METRICS)
        self.quotas.set_terms(fleet.terms)
        self.quotas.join(name, f'{name}.{number}', fleet.bind_alive(self))

    def callLater(self, delay_s, action, *args):
        timer = Timer(lambda: action(*args))
        self.fleet.schedule(delay_s * MS_PER_S, self, timer)
        return timer

    def send(self, datagram, address):
        self.fleet.carry(self, address, datagram)

    def list_peers(self):
        """Read the list of instances, as the poller does."""
        if not self.fleet.is_store_down:
            names = self.fleet.registered - {self.name}
            self.quotas.connect(self.send, {name: name for name in names})
            self.listed = names
        self.callLater(LIST_PERIOD_MS / MS_PER_S, self.list_peers)

    def wake(self):
        self.still_ms = None
        delayed, self.delayed = self.delayed, []
        self.fleet.random.shuffle(delayed)
        for timer in delayed:
            self.fleet.schedule(0, self, timer)


class Run:
    """A request that was sent and run."""

    def __init__(self, sent_ms, run_ms, tokens):
        self.sent_ms = sent_ms
        self.run_ms = run_ms
        self.tokens = tokens


class QuotaFleet:
    """
    Instances that enforce the quota of one workspace.

    :param size: number of instances, in three zones
    :param loss: share of the datagrams that are lost
    """

    def __init__(self, size, quota, seed=1, loss=0.0, terms=TERMS):
        self.terms = terms
        self.random = Random(seed)
        self.now_ms = 0
        self.loss = loss
        self.is_store_down = False
        self.registered = set()
        self.by_name = {}
        # Zone that is cut off from the others, and since when.
        self.cut_zone = None
        self.cut_ms = 0
        # Pairs of instances that do not reach each other, and since when.
        self.cut_ms_by_pair = {}
        self.quota = quota
        # Time from which a quota may be in force, and the quota.
        self.history = [(0, quota)]
        self.runs = []
        self.refused = []
        self.sent_count = 0
        self._numbers = count()
        self._calls = []
        for number in range(size):
            self.start(f'i{number}', 'abc'[number % 3])

    def schedule(self, delay_ms, instance, timer):
        due_ms = self.now_ms + max(0, delay_ms)
        heappush(self._calls, (due_ms, next(self._numbers), instance, timer))

    def run(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while self._calls and self._calls[0][0] <= end_ms:
            due_ms, _, instance, timer = heappop(self._calls)
            self.now_ms = max(self.now_ms, round(due_ms))
            if instance is not None and instance.still_ms is not None:
                instance.delayed.append(timer)
            elif timer.action is not None:
                action, timer.action = timer.action, None
                action()
        self.now_ms = end_ms

    def at(self, delay_ms, action, *args):
        self.schedule(delay_ms, None, Timer(lambda: action(*args)))

    def find_cut_ms(self, first, second):
        """Return since when two instances do not reach each other, or none."""
        if (first.zone == self.cut_zone) != (second.zone == self.cut_zone):
            return self.cut_ms
        return self.cut_ms_by_pair.get(frozenset((first.name, second.name)))

    def bind_alive(self, instance):
        def is_alive(name, now_ms):
            peer = self.by_name.get(name)
            if peer is None:
                return False
            if instance.name not in peer.listed:
                return False
            silent_ms = 0
            if peer.still_ms is not None:
                silent_ms = now_ms - peer.still_ms
            cut_ms = self.find_cut_ms(instance, peer)
            if cut_ms is not None:
                silent_ms = max(silent_ms, now_ms - cut_ms)
            return silent_ms <= PEER_TIMEOUT_MS

        return is_alive

    def carry(self, sender, name, datagram):
        self.sent_count += 1
        receiver = self.by_name.get(name)
        if (
            receiver is None
            or receiver.is_dead
            or self.random.random() < (self.loss)
        ):
            return
        if self.find_cut_ms(sender, receiver) is None:
            timer = Timer(
                lambda: receiver.quotas.receive(datagram, sender.name)
            )
            self.schedule(self.random.uniform(0.2, 2), receiver, timer)

    def start(self, name, zone):
        """Start a process, also one that was killed."""
        if self.is_store_down:
            return
        instance = Instance(self, name, zone, next(self._numbers))
        if name not in self.registered:
            instance.quotas.claims.delegations.mark_first_start()
        self.by_name[name] = instance
        self.registered.add(name)
        instance.quotas.apply_quotas(self._get_quotas(self.quota))
        instance.callLater(self.random.uniform(0, 0.4), instance.list_peers)

    def kill(self, name):
        instance = self.by_name[name]
        if instance.is_dead:
            return
        instance.is_dead = True
        instance.still_ms = self.now_ms
        instance.delayed.clear()

    def stop(self, name):
        """Stop a process in order, which removes its record."""
        instance = self.by_name[name]
        if instance.still_ms is None:
            Deferred.fromCoroutine(instance.quotas.stop())
            self.kill(name)
            self.registered.discard(name)

    def restart(self, name, after_ms):
        self.kill(name)
        self.at(after_ms, self.start, name, self.by_name[name].zone)

    def freeze(self, name, duration_ms):
        instance = self.by_name[name]
        if instance.still_ms is None:
            instance.still_ms = self.now_ms
            self.at(duration_ms, self._thaw, instance)

    def _thaw(self, instance):
        if not instance.is_dead:
            instance.wake()

    def cut(self, zone, duration_ms):
        self.cut_zone, self.cut_ms = zone, self.now_ms
        self.at(duration_ms, self._heal)

    def cut_link(self, first, second, duration_ms):
        pair = frozenset((first, second))
        self.cut_ms_by_pair[pair] = self.now_ms
        self.at(duration_ms, self.cut_ms_by_pair.pop, pair, None)

    def _heal(self):
        self.cut_zone = None

    def configure(self, quota):
        """Give all instances a configuration, at different times."""
        self.quota = quota
        self.history.append((self.now_ms, quota))
        for name in self.by_name:
            wait_ms = self.random.uniform(0, CONFIG_MS)
            self.at(wait_ms, self._apply, self.by_name[name], quota)

    def _apply(self, instance, quota):
        # One that is killed or starts anew reads the latest one.
        if instance.still_ms is None and quota is self.quota:
            instance.quotas.apply_quotas(self._get_quotas(quota))
        elif not instance.is_dead and quota is self.quota:
            self.at(50, self._apply, instance, quota)

    def _get_quotas(self, quota):
        return {} if quota is None else {WORKSPACE: quota}

    def find_home(self):
        names = [
            name
            for name in self.registered
            if self.by_name[name].still_ms is None
        ]
        return min(names, key=lambda name: compute_rank(WORKSPACE, name))

    def send_load(
        self, duration_ms, requests_per_s, tokens, names=None, returned=0.0
    ):
        """
        Send requests at random moments, by default to any instance.

        :param returned: share of requests refused otherwise after a grant
        """
        wait_ms = 0
        while True:
            wait_ms += self.random.expovariate(requests_per_s) * MS_PER_S
            if wait_ms > duration_ms:
                return
            size = self.random.uniform(0.3, 1.7) * tokens
            self.at(wait_ms, self.request, names, size, returned)

    def request(self, names, tokens, returned):
        running = [
            name
            for name in names or sorted(self.by_name)
            if not self.by_name[name].is_dead
        ]
        if not running:
            return
        instance = self.by_name[self.random.choice(running)]
        sent_ms = self.now_ms
        if instance.still_ms is not None:
            # It waits in the socket.
            timer = Timer(
                lambda: self._serve(instance, tokens, returned, sent_ms)
            )
            instance.delayed.append(timer)
        else:
            self._serve(instance, tokens, returned, sent_ms)

    def _serve(self, instance, tokens, returned, sent_ms):
        if instance.quotas.get_quota(WORKSPACE) is None:
            self.runs.append(Run(sent_ms, self.now_ms, tokens))
            return
        asking = Deferred.fromCoroutine(instance.quotas.ask(WORKSPACE, tokens))
        is_returned = self.random.random() < returned

        def end(answer):
            if not isinstance(answer, Receipt):
                self.refused.append((sent_ms, tokens, answer))
            elif is_returned:
                instance.callLater(
                    self.random.uniform(0, 0.3),
                    instance.quotas.give_back,
                    answer,
                    WORKSPACE,
                    tokens,
                )
            else:
                self.runs.append(Run(sent_ms, self.now_ms, tokens))

        asking.addCallback(end)

    def find_excess(self):
        """
        Return the highest share of what is allowed that a window had.

        A lowered limit is binding one window after all instances have it.
        """
        runs = sorted(self.runs, key=lambda run: run.sent_ms)
        worst = 0
        for start, first in enumerate(runs):
            end_ms = first.sent_ms + TERMS.window_ms
            allowed = self._get_allowed(first.sent_ms, end_ms)
            if allowed is None:
                continue
            used = 0
            for run in runs[start:]:
                if run.sent_ms > end_ms:
                    break
                used += run.tokens if run.run_ms <= end_ms else 0
            worst = max(worst, used / allowed)
        return worst

    def _get_allowed(self, start_ms, end_ms):
        since_ms = start_ms - TERMS.window_ms - CONFIG_MS
        in_force = [
            quota
            for number, (from_ms, quota) in enumerate(self.history)
            if from_ms <= end_ms
            and (
                number + 1 == len(self.history)
                or self.history[number + 1][0] >= since_ms
            )
        ]
        if None in in_force:
            return None
        return max(compute_allowed(quota, self.terms) for quota in in_force)


def token_quota(tokens_per_s):
    return Quota(
        tokens_per_s=tokens_per_s,
        burst_tokens=tokens_per_s,
        counts_tokens=True,
        plain_tokens=200,
    )
