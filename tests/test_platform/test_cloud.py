"""
Test how replies to a duty holder's platform calls are classified.

A busy platform that is classified as a refusal would drop a usage report for
good, and a refusal classified as busy would be sent again.
"""

from twisted.internet import reactor
from twisted.web.server import Site

from cicadahoist.platform.clients import ORDER_TIMEOUT_MS, new_platform_client
from cicadahoist.platform.cloud import PlatformCalls
from cicadahoist.platform.settings_file import Address
from cicadahoist.serving.duty_calls import OrderReply, TargetOrder
from soak.platform_pages import CloudStandIn
from tests.loopback import LoopbackCase

ORDER = TargetOrder(service='llm', zone='zone-a', count=3)


class PlatformCallsTest(LoopbackCase):
    def setUp(self):
        super().setUp()
        self.pages = CloudStandIn()
        port = reactor.listenTCP(
            0, Site(self.pages.app.resource()), interface='127.0.0.1'
        )
        self.addCleanup(port.stopListening)
        http = new_platform_client(reactor)
        self.addCleanup(http.close)
        self.calls = PlatformCalls.from_address(
            Address('127.0.0.1', port.getHost().port),
            http,
            'i1',
            ORDER_TIMEOUT_MS,
        )

    async def call_with_status(self, status):
        self.pages.status = status
        return {
            await self.calls.report_usage(7, {'w1': 2}, 3),
            await self.calls.order_targets(ORDER, 3),
        }

    async def test_calls_carry_epoch_and_content(self):
        assert await self.call_with_status(200) == {OrderReply.accepted}
        assert self.pages.calls == [
            ('/usage', 3, {'window': 7, 'counts': {'w1': 2}}),
            ('/scale', 3, {'service': 'llm', 'zone': 'zone-a', 'desired': 3}),
        ]

    async def test_a_platform_that_is_busy_or_away_is_asked_again(self):
        # A report that counts as refused is never sent again.
        assert await self.call_with_status(503) == {OrderReply.busy}
        assert await self.call_with_status(429) == {OrderReply.busy}

    async def test_other_rejections_are_final(self):
        assert await self.call_with_status(400) == {OrderReply.refused}
        assert await self.call_with_status(409) == {OrderReply.none_available}
