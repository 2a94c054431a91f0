"""What the instances of a deployment tell each other in passing."""

from collections.abc import Callable
from typing import Any

from cicadahoist.policy.crash_blame import Blame, CrashBlame
from cicadahoist.requests import PromptPart
from cicadahoist.serving.usage_copies import UsageCopies


class Gossip:
    """
    News for peers, and what was heard from them.

    The callbacks are set by the task that sends the news; without it, nobody
    is told.
    """

    __slots__ = (
        'blames',
        'holds_duties',
        'on_blame',
        'on_prefill_started',
        'usage_copies',
    )

    def __init__(self) -> None:
        self.blames = CrashBlame()
        self.usage_copies = UsageCopies()
        # Called with each blame that this instance has found.
        self.on_blame: Callable[[Blame], None] = _ignore
        # Called with each prompt that an engine begins to read.
        self.on_prefill_started: Callable[
            [str, tuple[PromptPart, ...]], None
        ] = _ignore
        # Tells whether this instance holds the lease of the duties.
        self.holds_duties: Callable[[], bool] = bool


def _ignore(*news: Any) -> None:
    """Tell nobody."""
