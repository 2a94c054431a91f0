"""Faults that a run injects when a process takes a step."""

from collections.abc import Callable
from typing import Any

from cicadahoist.registry import Registry
from proof.world import RESTART_MS, Node

# Longer than every wait of a successor, shorter than the lease term (1500 ms),
# and longer than the term.
DURATIONS_MS = (6000, 300, 2500)

Fault = Callable[[Any, Node, int], None]
FAULTS: Registry[Fault] = Registry('fault')


@FAULTS.register('killed')
def kill(scenario: Any, node: Node, duration_ms: int) -> None:
    node.kill(RESTART_MS)


@FAULTS.register('frozen')
def freeze(scenario: Any, node: Node, duration_ms: int) -> None:
    node.freeze(duration_ms)


@FAULTS.register('cut off')
def cut_off(scenario: Any, node: Node, duration_ms: int) -> None:
    node.is_outbound_cut = True
    node.is_inbound_cut = True
    scenario.world.schedule(duration_ms, lambda: _heal(node))


@FAULTS.register('one-way cut')
def cut_one_way(scenario: Any, node: Node, duration_ms: int) -> None:
    node.is_inbound_cut = True
    scenario.world.schedule(duration_ms, lambda: _heal(node))


@FAULTS.register('answer lost')
def lose_answer(scenario: Any, node: Node, duration_ms: int) -> None:
    node.answers_to_lose_count += 1


@FAULTS.register('store down')
def stop_store(scenario: Any, node: Node, duration_ms: int) -> None:
    store = scenario.store
    store.is_down = True

    def heal() -> None:
        store.is_down = False

    scenario.world.schedule(duration_ms, heal)


@FAULTS.register('store slow')
def slow_store(scenario: Any, node: Node, duration_ms: int) -> None:
    store = scenario.store
    store.extra_latency_ms = 700

    def heal() -> None:
        store.extra_latency_ms = 0

    scenario.world.schedule(duration_ms, heal)


@FAULTS.register('operators at once')
def race_operators(scenario: Any, node: Node, duration_ms: int) -> None:
    scenario.race_operators(node)


@FAULTS.register('target reclaimed')
def reclaim_target(scenario: Any, node: Node, duration_ms: int) -> None:
    scenario.reclaim_target(node)


def _heal(node: Node) -> None:
    node.is_outbound_cut = False
    node.is_inbound_cut = False
