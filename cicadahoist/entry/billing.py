"""Usage of requests, as it is billed."""

from typing import Protocol

from cicadahoist.clock import wall_ms
from cicadahoist.config import Config
from cicadahoist.entry.events import Usage
from cicadahoist.entry.open_requests import OpenRequest
from cicadahoist.messages import UsageCount
from cicadahoist.settings import INSTANCE_NAME, USAGE_WINDOW


class UsageRecorder(Protocol):
    """Stores usage so that it survives the loss of this instance."""

    async def record(self, count: UsageCount) -> None:
        """Store a count and return once it is durable."""


class Billing:
    """
    Converts the usage of answers into usage counts.

    :param entry: name of this instance
    :param window_ms: length of a usage window in milliseconds
    """

    __slots__ = ('_entry', '_recorder', '_window_ms')

    def __init__(self, entry: str, window_ms: int) -> None:
        self._entry = entry
        self._window_ms = window_ms
        self._recorder: UsageRecorder | None = None

    @classmethod
    def from_config(cls, config: Config) -> 'Billing':
        """Return the billing for the instance named in the settings."""
        return cls(config.read(INSTANCE_NAME), config.read(USAGE_WINDOW))

    def set_recorder(self, recorder: UsageRecorder) -> None:
        """Set the recorder that stores the usage counts."""
        self._recorder = recorder

    async def record(self, request: OpenRequest, usage: Usage) -> None:
        """
        Record the usage of a request and return once it is durable.

        The count is identified by an id that the entry generates, as callers
        may reuse their request ids.
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
