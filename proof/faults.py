"""Faults that a run brings about at a step."""

from collections.abc import Callable
from typing import Any

from cicadahoist.registry import Registry
from proof.world import RESTART_MS, Node

# Short of the term, past it, and past every wait of a newcomer.
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
    node.cut_out = True
    node.cut_back = True
    scenario.world.later(duration_ms, lambda: _heal(node))


@FAULTS.register('one-way cut')
def cut_one_way(scenario: Any, node: Node, duration_ms: int) -> None:
    node.cut_back = True
    scenario.world.later(duration_ms, lambda: _heal(node))


@FAULTS.register('answer lost')
def lose_answer(scenario: Any, node: Node, duration_ms: int) -> None:
    node.lose_answers += 1


@FAULTS.register('store down')
def stop_store(scenario: Any, node: Node, duration_ms: int) -> None:
    store = scenario.store
    store.down = True

    def heal() -> None:
        store.down = False

    scenario.world.later(duration_ms, heal)


@FAULTS.register('store slow')
def slow_store(scenario: Any, node: Node, duration_ms: int) -> None:
    store = scenario.store
    store.slow_ms = 700

    def heal() -> None:
        store.slow_ms = 0

    scenario.world.later(duration_ms, heal)


@FAULTS.register('operators at once')
def race(scenario: Any, node: Node, duration_ms: int) -> None:
    scenario.race(node)


@FAULTS.register('target reclaimed')
def reclaim(scenario: Any, node: Node, duration_ms: int) -> None:
    scenario.reclaim(node)


def _heal(node: Node) -> None:
    node.cut_out = False
    node.cut_back = False
