"""State that the instances of a deployment exchange by datagrams."""

from collections.abc import Callable
from typing import Any

from cicadahoist.policy.crash_blame import Blame, CrashBlame
from cicadahoist.policy.held_parts import HeldParts, PartHold
from cicadahoist.requests import PromptPart
from cicadahoist.serving.usage_copies import UsageCopies


class Gossip:
    """
    State received from peers, and callbacks for what is to be sent to them.

    The task that sends to the peers sets the callbacks; without it, nothing is
    sent.
    """

    __slots__ = (
        'blames',
        'held_parts',
        'holds_duties',
        'on_blame',
        'on_hold',
        'on_prefill_started',
        'usage_copies',
    )

    def __init__(self) -> None:
        self.blames = CrashBlame()
        self.held_parts = HeldParts()
        self.usage_copies = UsageCopies()
        # Called with each blame that this instance has found.
        self.on_blame: Callable[[Blame], None] = _ignore
        # Called with each hold that this instance has decided.
        self.on_hold: Callable[[PartHold], None] = _ignore
        # Called with the engine and the prompt of each prefill that starts.
        self.on_prefill_started: Callable[
            [str, tuple[PromptPart, ...]], None
        ] = _ignore
        # Returns whether this instance holds the lease of the duties.
        self.holds_duties: Callable[[], bool] = bool


def _ignore(*news: Any) -> None:
    """Send nothing."""
