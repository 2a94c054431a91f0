"""Simulated time, calls over faulty links, and processes with faults."""

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
    A queue of scheduled calls on a simulated clock.

    :param seed: seed of all random choices of a run
    """

    __slots__ = (
        '_queue',
        '_sequence_numbers',
        'now_ms',
        'random',
        'violations',
    )

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.now_ms = 0
        self.violations: list[str] = []
        self._queue: list[tuple[int, int, Callback]] = []
        self._sequence_numbers = itertools.count()

    def schedule(self, delay_ms: int, call: Callback) -> None:
        """Schedule a call after a delay."""
        due_ms = self.now_ms + delay_ms
        heapq.heappush(
            self._queue, (due_ms, next(self._sequence_numbers), call)
        )

    def run_until(self, until_ms: int) -> None:
        """Run all calls that are due until a time."""
        while self._queue and self._queue[0][0] <= until_ms:
            self.now_ms, _, call = heapq.heappop(self._queue)
            call()
        self.now_ms = until_ms

    def draw_latency_ms(self) -> int:
        """Return a random latency of a message."""
        return self.random.randint(*LATENCY_MS)

    def record_violation(self, text: str) -> None:
        """Record that an invariant does not hold."""
        self.violations.append(f'{self.now_ms} ms: {text}')


class Service:
    """An external service that processes call."""

    __slots__ = ('extra_latency_ms', 'is_down')

    def __init__(self) -> None:
        self.is_down = False
        self.extra_latency_ms = 0


class ServiceFailure:
    """Answer of a service that is down; the call had no effect."""


class Node:
    """
    A process on an instance that can be killed, frozen and cut off.

    :param world: clock and random choices
    :param name: name of the instance
    """

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.start_count = 0
        self.is_alive = False
        self.is_frozen = False
        self.is_outbound_cut = False
        self.is_inbound_cut = False
        self.answers_to_lose_count = 0
        self.kernel_deadline_ms: int | None = None
        self.has_kernel_timer = True
        self._deferred_calls: list[Callback] = []

    @property
    def incarnation(self) -> str:
        """Identity of the running process, new after each restart."""
        return f'{self.name}#{self.start_count}'

    def start(self) -> None:
        """Start a process without state."""
        self.start_count += 1
        self.is_alive = True
        self.is_frozen = False
        self.kernel_deadline_ms = None
        self._deferred_calls = []
        self.boot()

    def boot(self) -> None:
        """Create the state of a new process."""

    def kill(self, restart_ms: int) -> None:
        """End the process, and start one without state after a delay."""
        if self.is_alive:
            self.is_alive = False
            self.is_frozen = False
            self._deferred_calls = []
            self.world.schedule(restart_ms, self.start)

    def freeze(self, duration_ms: int) -> None:
        """Suspend the process for a time."""
        if self.is_alive and not self.is_frozen:
            self.is_frozen = True
            start_number = self.start_count
            self.world.schedule(
                max(0, duration_ms), lambda: self._thaw(start_number)
            )

    def arm_kernel_timer(self, deadline_ms: int) -> None:
        """Let the kernel kill the process at a deadline."""
        self.kernel_deadline_ms = deadline_ms
        if not self.has_kernel_timer:
            return
        start_number = self.start_count
        self.world.schedule(
            max(0, deadline_ms - self.world.now_ms),
            lambda: self._on_kernel_deadline(start_number, deadline_ms),
        )

    def disarm_kernel_timer(self) -> None:
        """Stop the kernel's timer."""
        self.kernel_deadline_ms = None

    def deliver(self, call: Callback) -> None:
        """Run a call in the process; a frozen process runs it once it thaws."""
        if not self.is_alive:
            return
        if self.is_frozen:
            self._deferred_calls.append(call)
        else:
            call()

    def execute_all(self, actions: list[Any]) -> None:
        """Execute actions; a freeze defers the rest, a kill drops it."""
        for index, action in enumerate(actions):
            if not self.is_alive:
                return
            if self.is_frozen:
                remaining_actions = actions[index:]
                self._deferred_calls.insert(
                    0, lambda: self.execute_all(remaining_actions)
                )
                return
            self.execute(action)

    def execute(self, action: Any) -> None:
        """Execute one action."""

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
        :param on_answer: receives the answer
        :param on_unknown: runs if no answer arrives within the timeout
        """
        Call(self, service, effect, on_answer, on_unknown).send()

    def _thaw(self, start_number: int) -> None:
        if not self.is_alive or start_number != self.start_count:
            return
        self.is_frozen = False
        kernel_deadline_ms = self.kernel_deadline_ms
        if (
            kernel_deadline_ms is not None
            and kernel_deadline_ms <= self.world.now_ms
        ):
            if self.has_kernel_timer:
                self.kill(RESTART_MS)
                return
        deferred_calls = self._deferred_calls
        self._deferred_calls = []
        for call in deferred_calls:
            self.deliver(call)

    def _on_kernel_deadline(self, start_number: int, deadline_ms: int) -> None:
        if (
            start_number == self.start_count
            and self.kernel_deadline_ms == deadline_ms
        ):
            if not self.is_frozen:
                self.kill(RESTART_MS)


class Call:
    """A call of a process to a service, whose answer may be lost or late."""

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
        self._start_number = node.start_count
        self._is_complete = False

    def send(self) -> None:
        """Send the request."""
        world = self._node.world
        world.schedule(CALL_TIMEOUT_MS, self._time_out)
        if not self._node.is_outbound_cut:
            delay_ms = world.draw_latency_ms() + self._service.extra_latency_ms
            world.schedule(delay_ms, self._arrive)

    def _arrive(self) -> None:
        node = self._node
        answer = ServiceFailure() if self._service.is_down else self._effect()
        if node.is_inbound_cut:
            return
        if node.answers_to_lose_count:
            node.answers_to_lose_count -= 1
            return
        node.world.schedule(
            node.world.draw_latency_ms(), lambda: self._deliver_answer(answer)
        )

    def _deliver_answer(self, answer: Any) -> None:
        if isinstance(answer, ServiceFailure):
            self._complete(self._on_unknown)
        elif self._start_number == self._node.start_count:
            # An answer may arrive after the call has timed out.
            self._is_complete = True
            self._node.deliver(lambda: self._on_answer(answer))

    def _time_out(self) -> None:
        self._complete(self._on_unknown)

    def _complete(self, call: Callback) -> None:
        if (
            not self._is_complete
            and self._start_number == self._node.start_count
        ):
            self._is_complete = True
            self._node.deliver(call)


RESTART_MS = 1500
