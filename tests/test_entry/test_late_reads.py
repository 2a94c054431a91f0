"""
Tests of timers that fire before the socket of a caller is read.

They guard against requests that are refused although they have arrived.
"""

from opentelemetry.sdk.metrics import MeterProvider
from twisted.web.resource import Resource

from cicadahoist.clock import Clock
from cicadahoist.entry.connection import BoundedSite
from cicadahoist.metrics import Metrics
from tests.test_serving.turned_reactor import (
    SocketCaller,
    TurnedReactor,
    make_request,
)

HEADER_TIMEOUT_MS = 500


class Page(Resource):
    """Answers all requests."""

    isLeaf = True

    def render(self, request):
        return b'filed'


# Guards against a header timeout that is judged before the socket is read, as
# after a turn of the event loop that took long.
def test_a_request_whose_rest_has_arrived_is_not_too_slow():
    clock = Clock.manual()
    metrics = Metrics(MeterProvider([]))
    site = BoundedSite(Page(), clock, metrics, 1000, HEADER_TIMEOUT_MS)
    reactor = TurnedReactor()
    caller = SocketCaller(reactor, site.buildProtocol(None))
    request = make_request(b'/x')
    caller.write(request[:-2])
    reactor.turn()
    caller.write(request[-2:])
    clock.advance(HEADER_TIMEOUT_MS)
    assert caller.receive().endswith(b'filed')
    caller.close()
