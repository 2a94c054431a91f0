"""Adapters to the platform: target orders, usage, instances and weights."""

from typing import Any, Protocol, Self
from urllib.parse import quote

import msgspec

from cicadahoist.config import Config
from cicadahoist.errors import UsageConflictError
from cicadahoist.outside.http import HTTP_CONFLICT
from cicadahoist.outside.platform_client import PlatformClient
from cicadahoist.outside.platform_messages import (
    ListedInstance,
    ListedInstances,
    RunningTarget,
    RunningTargets,
    TargetOrderAnswer,
    TargetOrderCall,
    TargetOrderState,
    UsageReport,
)
from cicadahoist.registry import Registry


class TargetOrders(Protocol):
    """
    Buys and releases targets.

    Calls may raise :exc:`NotSentError`, :exc:`LostAfterSendError` (the order
    may have been accepted; repeat it with the same token) and
    :exc:`BusyError`.
    """

    async def send(self, order: TargetOrderCall) -> TargetOrderState:
        """Send an order and return its state."""

    async def fetch_orders(self, zone: str) -> list[TargetOrderState]:
        """Return all orders of a zone."""

    async def fetch_targets(self, zone: str) -> list[RunningTarget]:
        """Return the running targets of a zone."""


class UsageIntake(Protocol):
    """Accepts usage reports."""

    async def report(
        self, workspace: str, window: int, usage: UsageReport
    ) -> None:
        """
        Report the figures of a billing window.

        :raises UsageConflictError: other figures were reported before
        """


class InstanceList(Protocol):
    """The platform's list of instances, which lags."""

    async def fetch_instances(self) -> list[ListedInstance]:
        """Return the instances that the platform lists."""


class WeightStore(Protocol):
    """The rate-limited store of model weights."""

    async def fetch(self, model: str, version: str) -> bytes:
        """
        Return the weights of a model.

        :raises BusyError: the rate limit is exceeded
        """


TARGET_ORDERS: Registry[Any] = Registry('target order adapter')
USAGE_INTAKES: Registry[Any] = Registry('usage adapter')
INSTANCE_LISTS: Registry[Any] = Registry('instance list adapter')
WEIGHT_STORES: Registry[Any] = Registry('weight store adapter')


class HttpAdapter:
    """Base class of the adapters over HTTP."""

    __slots__ = ('_client',)

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    @classmethod
    def from_config(cls, config: Config, reactor: Any) -> Self:
        """Return an adapter configured by the settings."""
        return cls(PlatformClient.from_config(config, reactor))

    async def close(self) -> None:
        """Close idle connections."""
        await self._client.close()


@TARGET_ORDERS.register('http')
class HttpTargetOrders(HttpAdapter):
    """Target orders over HTTP."""

    __slots__ = ()

    async def send(self, order: TargetOrderCall) -> TargetOrderState:
        """Send an order and return its state."""
        body = await self._client.order('/target-orders', order)
        return msgspec.json.decode(body, type=TargetOrderState)

    async def fetch_orders(self, zone: str) -> list[TargetOrderState]:
        """Return all orders of a zone."""
        body = await self._client.get(f'/target-orders?zone={quote(zone)}')
        return msgspec.json.decode(body, type=TargetOrderAnswer).orders

    async def fetch_targets(self, zone: str) -> list[RunningTarget]:
        """Return the running targets of a zone."""
        body = await self._client.get(f'/targets?zone={quote(zone)}')
        return msgspec.json.decode(body, type=RunningTargets).targets


@USAGE_INTAKES.register('http')
class HttpUsageIntake(HttpAdapter):
    """Usage reports over HTTP."""

    __slots__ = ()

    async def report(
        self, workspace: str, window: int, usage: UsageReport
    ) -> None:
        """Report the figures of a billing window."""
        path = f'/usage/{quote(workspace, safe="")}/{window}'
        status = await self._client.put(path, usage)
        if status == HTTP_CONFLICT:
            raise UsageConflictError(
                f'{path}: other figures were reported before',
                remedy='compare the sealed figure with the report',
            )


@INSTANCE_LISTS.register('http')
class HttpInstanceList(HttpAdapter):
    """The list of instances over HTTP."""

    __slots__ = ()

    async def fetch_instances(self) -> list[ListedInstance]:
        """Return the instances that the platform lists."""
        body = await self._client.get('/instances')
        return msgspec.json.decode(body, type=ListedInstances).instances


@WEIGHT_STORES.register('http')
class HttpWeightStore(HttpAdapter):
    """The store of weights over HTTP."""

    __slots__ = ()

    async def fetch(self, model: str, version: str) -> bytes:
        """Return the weights of a model."""
        return await self._client.get(
            f'/weights/{quote(model, safe="")}/{quote(version, safe="")}'
        )
