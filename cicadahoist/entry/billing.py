"""Usage of requests as it is billed."""

from typing import Protocol

from cicadahoist.clock import wall_ms
from cicadahoist.config import Config
from cicadahoist.entry.events import Usage
from cicadahoist.entry.open_requests import OpenRequest
from cicadahoist.messages import UsageCount
from cicadahoist.settings import INSTANCE_NAME, USAGE_WINDOW


class UsageRecorder(Protocol):
    """Keeps usage so that the loss of this instance does not lose it."""

    async def record(self, count: UsageCount) -> None:
        """Return once the count is safe."""


class Billing:
    """
    Turns what callers got into usage counts.

    :param entry: name of this instance
    :param window_ms: length of a billing window
    """

    __slots__ = ('_entry', '_recorder', '_window_ms')

    def __init__(self, entry: str, window_ms: int) -> None:
        self._entry = entry
        self._window_ms = window_ms
        self._recorder: UsageRecorder | None = None

    @classmethod
    def from_config(cls, config: Config) -> 'Billing':
        """Return the billing of the instance that the settings name."""
        return cls(config.read(INSTANCE_NAME), config.read(USAGE_WINDOW))

    def set_recorder(self, recorder: UsageRecorder) -> None:
        """Set where usage is recorded."""
        self._recorder = recorder

    async def record(self, request: OpenRequest, usage: Usage) -> None:
        """
        Return once the usage of a request is safe.

        The count has an identifier of the entry's own, as callers may repeat
        theirs.
        """
        if self._recorder is None:
            return
        count = UsageCount(
            request=request.billing_id,
            entry=self._entry,
            window=wall_ms() // self._window_ms,
            workspace=request.grant.workspace,
            route=request.grant.route.name,
            prompt_tokens=usage.prompt_tokens,
            output_tokens=usage.completion_tokens,
        )
        await self._recorder.record(count)
