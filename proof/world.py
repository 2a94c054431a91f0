"""Manual time, links with faults, and processes that can be frozen."""

import heapq
import itertools
from collections.abc import Callable
from random import Random
from typing import Any

LATENCY_MS = (1, 20)
CALL_TIMEOUT_MS = 400

Callback = Callable[..., None]


class World:
    """
    A queue of calls on a manual clock.

    :param seed: all random choices of a run come from it
    """

    __slots__ = ('_order', '_queue', 'now_ms', 'random', 'violations')

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.now_ms = 0
        self.violations: list[str] = []
        self._queue: list[tuple[int, int, Callback]] = []
        self._order = itertools.count()

    def later(self, delay_ms: int, call: Callback) -> None:
        """Call after a delay."""
        due = self.now_ms + delay_ms
        heapq.heappush(self._queue, (due, next(self._order), call))

    def run(self, until_ms: int) -> None:
        """Run what is due until a time."""
        while self._queue and self._queue[0][0] <= until_ms:
            self.now_ms, _, call = heapq.heappop(self._queue)
            call()
        self.now_ms = until_ms

    def latency(self) -> int:
        """Return how long a message is on its way, in milliseconds."""
        return self.random.randint(*LATENCY_MS)

    def violate(self, text: str) -> None:
        """Record that an invariant does not hold."""
        self.violations.append(f'{self.now_ms} ms: {text}')


class Service:
    """Something outside that processes call."""

    __slots__ = ('down', 'slow_ms')

    def __init__(self) -> None:
        self.down = False
        self.slow_ms = 0


class Failed:
    """Answer of a service that is down; nothing took effect."""


class Node:
    """
    A process on an instance: it can be killed, frozen and cut off.

    :param world: time and random choices
    :param name: name of the instance
    """

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.starts = 0
        self.alive = False
        self.frozen = False
        self.cut_out = False
        self.cut_back = False
        self.lose_answers = 0
        self.alarm_ms: int | None = None
        self.timer_works = True
        self._inbox: list[Callback] = []

    @property
    def incarnation(self) -> str:
        """Identity of the running process."""
        return f'{self.name}#{self.starts}'

    def start(self) -> None:
        """Start an empty process."""
        self.starts += 1
        self.alive = True
        self.frozen = False
        self.alarm_ms = None
        self._inbox = []
        self.boot()

    def boot(self) -> None:
        """Build the state of a new process."""

    def kill(self, restart_ms: int) -> None:
        """End the process; an empty one takes its place later."""
        if self.alive:
            self.alive = False
            self.frozen = False
            self._inbox = []
            self.world.later(restart_ms, self.start)

    def freeze(self, duration_ms: int) -> None:
        """Stop the process for a time."""
        if self.alive and not self.frozen:
            self.frozen = True
            started = self.starts
            self.world.later(max(0, duration_ms), lambda: self._thaw(started))

    def arm(self, deadline_ms: int) -> None:
        """Let the kernel end the process at a time."""
        self.alarm_ms = deadline_ms
        if not self.timer_works:
            return
        started = self.starts
        self.world.later(
            max(0, deadline_ms - self.world.now_ms),
            lambda: self._on_alarm(started, deadline_ms),
        )

    def disarm(self) -> None:
        """Stop the kernel's timer."""
        self.alarm_ms = None

    def deliver(self, call: Callback) -> None:
        """Run a call in the process, after a freeze where it is frozen."""
        if not self.alive:
            return
        if self.frozen:
            self._inbox.append(call)
        else:
            call()

    def carry_out(self, actions: list[Any]) -> None:
        """Carry out actions in order; a freeze or a kill stops in between."""
        for index, action in enumerate(actions):
            if not self.alive:
                return
            if self.frozen:
                rest = actions[index:]
                self._inbox.insert(0, lambda: self.carry_out(rest))
                return
            self.execute(action)

    def execute(self, action: Any) -> None:
        """Carry out one action."""

    def call(
        self,
        service: Service,
        effect: Callable[[], Any],
        on_answer: Callback,
        on_unknown: Callback,
    ) -> None:
        """
        Call a service.

        :param effect: runs at the service and returns its answer
        :param on_answer: takes the answer
        :param on_unknown: called where no answer arrives in time
        """
        Call(self, service, effect, on_answer, on_unknown).send()

    def _thaw(self, started: int) -> None:
        if not self.alive or started != self.starts:
            return
        self.frozen = False
        alarm = self.alarm_ms
        if alarm is not None and alarm <= self.world.now_ms:
            if self.timer_works:
                self.kill(RESTART_MS)
                return
        waiting = self._inbox
        self._inbox = []
        for call in waiting:
            self.deliver(call)

    def _on_alarm(self, started: int, deadline_ms: int) -> None:
        if started == self.starts and self.alarm_ms == deadline_ms:
            if not self.frozen:
                self.kill(RESTART_MS)


class Call:
    """One call of a process to a service; its answer may be lost or late."""

    def __init__(
        self,
        node: Node,
        service: Service,
        effect: Callable[[], Any],
        on_answer: Callback,
        on_unknown: Callback,
    ) -> None:
        self._node = node
        self._service = service
        self._effect = effect
        self._on_answer = on_answer
        self._on_unknown = on_unknown
        self._started = node.starts
        self._settled = False

    def send(self) -> None:
        """Send the request."""
        world = self._node.world
        world.later(CALL_TIMEOUT_MS, self._time_out)
        if not self._node.cut_out:
            delay = world.latency() + self._service.slow_ms
            world.later(delay, self._arrive)

    def _arrive(self) -> None:
        node = self._node
        answer = Failed() if self._service.down else self._effect()
        if node.cut_back:
            return
        if node.lose_answers:
            node.lose_answers -= 1
            return
        node.world.later(node.world.latency(), lambda: self._answer(answer))

    def _answer(self, answer: Any) -> None:
        if isinstance(answer, Failed):
            self._settle(self._on_unknown)
        elif self._started == self._node.starts:
            # An answer may arrive after the call has timed out.
            self._settled = True
            self._node.deliver(lambda: self._on_answer(answer))

    def _time_out(self) -> None:
        self._settle(self._on_unknown)

    def _settle(self, call: Callback) -> None:
        if not self._settled and self._started == self._node.starts:
            self._settled = True
            self._node.deliver(call)


RESTART_MS = 1500
