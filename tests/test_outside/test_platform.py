"""
Test the platform adapters against the stand-in platform over loopback.

Orders and usage reports are repeated after a lost answer, so each must take
effect once.
"""

from msgspec.structs import replace

from cicadahoist.errors import (
    BusyError,
    LostAfterSendError,
    NotSentError,
    UsageConflictError,
)
from cicadahoist.outside.platform import (
    HttpInstanceList,
    HttpTargetOrders,
    HttpUsageIntake,
    HttpWeightStore,
)
from cicadahoist.outside.platform_messages import (
    ListedInstance,
    TargetOrderCall,
    UsageReport,
)
from cicadahoist.standin.faults import Fault
from cicadahoist.standin.platform import PlatformOptions, PlatformServer
from cicadahoist.standin.platform_targets import Spare
from tests.loopback import LoopbackCase

INSTANCE = ListedInstance(
    name='instance-1', zone='zone-a', address='127.0.0.1', port=8090
)
BUY = TargetOrderCall(
    token='3.1', epoch=3, zone='zone-a', kind='buy', pool='engines'
)
USAGE = UsageReport(epoch=1, prompt_tokens=10, output_tokens=5, requests=1)


class PlatformTest(LoopbackCase):
    def setUp(self):
        super().setUp()
        options = PlatformOptions(arrival_ms=0, list_lag_ms=0)
        spare = Spare(name='engine-9', zone='zone-a', url='http://127.0.0.1:1')
        self.platform = PlatformServer(options, self.clock, [spare], [INSTANCE])
        self.url = self.serve(self.platform.app)

    def connect_adapter(self, implementation):
        return self.adapter(
            implementation,
            platform__url=self.url,
            platform__timeout=5000,
            control__order_bound=5000,
        )

    async def test_repeated_order_buys_and_releases_once(self):
        orders = self.connect_adapter(HttpTargetOrders)
        bought = await orders.send(BUY)
        assert (bought.state, bought.target) == ('accepted', 'engine-9')
        again = await orders.send(BUY)
        assert (again.state, again.target) == ('done', 'engine-9')
        [target] = await orders.fetch_targets('zone-a')
        assert (target.name, target.pool) == ('engine-9', 'engines')
        assert await orders.fetch_targets('zone-b') == []
        release = replace(BUY, token='3.2', kind='release', target='engine-9')
        assert (await orders.send(release)).state == 'done'
        assert await orders.fetch_targets('zone-a') == []
        states = await orders.fetch_orders('zone-a')
        assert [state.token for state in states] == ['3.1', '3.2']
        assert self.platform.seen().targets.repeated == 1

    async def test_order_with_a_lost_answer_is_found_by_its_token(self):
        orders = self.connect_adapter(HttpTargetOrders)
        self.platform.set_fault(Fault(kind='lose-answers', count=1))
        await self.raises(LostAfterSendError, orders.send(BUY))
        [found] = await orders.fetch_orders('zone-a')
        assert (found.token, found.target) == ('3.1', 'engine-9')
        assert self.platform.seen().targets.taken == 1

    async def test_usage_report_is_idempotent_and_conflicts_are_detected(self):
        intake = self.connect_adapter(HttpUsageIntake)
        for _ in range(2):
            await intake.report('tayside', 7, USAGE)
        await self.raises(
            UsageConflictError,
            intake.report('tayside', 7, replace(USAGE, requests=2)),
        )
        await intake.report('tayside', 8, replace(USAGE, requests=2))
        seen = self.platform.seen()
        assert seen.usage_by_window['tayside/7'] == USAGE
        assert (seen.usage.taken, seen.usage.conflicting) == (2, 1)
        assert seen.usage.repeated == 1

    async def test_instance_list_and_weights(self):
        instances = self.connect_adapter(HttpInstanceList)
        assert await instances.fetch_instances() == [INSTANCE]
        weights = self.connect_adapter(HttpWeightStore)
        assert len(await weights.fetch('demo-model', '1')) == 65_536
        busy = await self.raises(BusyError, weights.fetch('demo-model', '1'))
        assert busy.retry_after_ms == 1000

    async def test_outage_raises_busy_and_accepts_nothing(self):
        self.platform.set_fault(Fault(kind='outage'))
        orders = self.connect_adapter(HttpTargetOrders)
        intake = self.connect_adapter(HttpUsageIntake)
        instances = self.connect_adapter(HttpInstanceList)
        await self.raises(BusyError, orders.send(BUY))
        await self.raises(BusyError, intake.report('tayside', 7, USAGE))
        await self.raises(BusyError, instances.fetch_instances())
        assert self.platform.seen().targets.taken == 0
        assert self.platform.seen().usage.taken == 0

    async def test_unreachable_platform_raises_not_sent(self):
        self.url = 'http://127.0.0.1:1'
        orders = self.connect_adapter(HttpTargetOrders)
        await self.raises(NotSentError, orders.send(BUY))
