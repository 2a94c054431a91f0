"""How long streams last, and which services have resumable ones."""

import msgspec

from cicadahoist.requests import RepeatRule
from cicadahoist.rules import Deployment, RouteRule

# Callers take a stream up within their deadline, which is usually below this.
MIN_LIFETIME_MS = 30_000
# A stream that is taken up at the end of its time-out has that time again.
LIFETIME_TIMEOUTS = 2


class StreamTerms(msgspec.Struct, frozen=True):
    """
    Terms of the streams of a deployment.

    :param lifetime_ms: time after which no stream is left that began before
    :param resumable_services: services with streams that callers may take up
    """

    lifetime_ms: int = MIN_LIFETIME_MS
    resumable_services: frozenset[str] = frozenset()

    @classmethod
    def from_deployment(cls, deployment: Deployment) -> 'StreamTerms':
        """Return the terms of a configuration."""
        streamed = [
            route
            for routes in deployment.routes_by_host.values()
            for route in routes
            if route.is_streamed
        ]
        longest_ms = max((route.timeout_ms for route in streamed), default=0)
        return cls(
            max(MIN_LIFETIME_MS, LIFETIME_TIMEOUTS * longest_ms),
            frozenset(
                share.service
                for route in streamed
                if is_recorded_route(route)
                for share in route.shares
            ),
        )

    def follow(self, later: 'StreamTerms') -> 'StreamTerms':
        """
        Return the terms after a change of the configuration.

        Streams that began before it may last as long as they could then.
        """
        return StreamTerms(
            max(self.lifetime_ms, later.lifetime_ms), later.resumable_services
        )


def is_recorded_route(route: RouteRule) -> bool:
    """Return whether callers may take up the streams of a route."""
    return route.is_streamed and route.repeat is RepeatRule.resumable
