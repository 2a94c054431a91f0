"""Events besides the faults of the matrix that lead to rare steps."""

from typing import Any

from cicadahoist.registry import Registry
from proof.world import Node

STIMULI: Registry[Any] = Registry('stimulus')


@STIMULI.register('all frozen')
def freeze_all(scenario: Any, node: Node) -> None:
    for frozen_node in scenario.nodes:
        frozen_node.freeze(scenario.timing.term_ms)


@STIMULI.register('frozen until the end')
def freeze_to_end(scenario: Any, node: Node) -> None:
    """Freeze a lease holder until 1 ms after it has to step down."""
    if node.kernel_deadline_ms is not None:
        step_down_ms = node.kernel_deadline_ms - scenario.timing.margin_ms
        node.freeze(step_down_ms + 1 - scenario.world.now_ms)
