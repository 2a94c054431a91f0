"""
Targets that send bytes on a connection before any request.

They guard against a request on a connection that was closed because of them:
nobody tells its end, and its caller waits until the deadline.
"""

import pytest

from cicadahoist.serving.relay_client import RelayOpening
from cicadahoist.serving.relay_messages import OPENED
from tests.test_serving.cut_world import CutWorld
from tests.test_serving.network import Cut, plain_targets

EARLY_ANSWER = b'HTTP/1.1 408 Timeout\r\nContent-Length: 0\r\n\r\n'
WAIT_MS = 500


class EarlyRelays:
    """
    Relays of peers; bytes of one target come in one read with the opening.

    :param relays: open the connections
    """

    def __init__(self, relays, early_target):
        self._relays = relays
        self._early_target = early_target

    def list_peers(self, now_ms):
        return self._relays.list_peers(now_ms)

    async def connect(self, peer, listing, build):
        connection = await self._relays.connect(peer, listing, build)
        if listing.name == self._early_target:
            opening = RelayOpening(b'', lambda: connection)
            opening.transport = connection.transport
            opening.dataReceived(OPENED + EARLY_ANSWER)
        return connection


@pytest.mark.parametrize('path', [b'/submit/x', b'/lookup/x'])
def test_a_request_is_not_sent_on_a_connection_that_is_closed(path):
    world = CutWorld(*plain_targets())
    world.network.cut(Cut.refused)
    world.connections.relays = EarlyRelays(world.relays, 't1')
    callers = [world.send_request(path) for _ in range(4)]
    world.advance(WAIT_MS)
    assert [caller.status for caller in callers] == [200] * 4
    assert {arrival.target for arrival in world.network.arrivals} == {'t2'}
