"""
The platform stand-in charges, reclaims and counts like a real platform.

Tests and benchmarks read costs and conflicting orders from its counts. A
conflict that it fails to count would let two holders of a zone pass unnoticed.
"""

import pytest
from msgspec.structs import replace

from cicadahoist.outside.platform_messages import (
    ListedInstance,
    TargetOrderCall,
    UsageReport,
)
from cicadahoist.standin.platform_instances import LaggedInstanceList
from cicadahoist.standin.platform_targets import Spare, TargetMarket
from cicadahoist.standin.platform_usage import UsageLedger

HOUR_MS = 3_600_000
BUY = TargetOrderCall(token='2.1', epoch=2, zone='zone-a', kind='buy')
CHEAP = replace(BUY, token='2.2', reclaimable=True)


@pytest.fixture
def market():
    spares = [
        Spare(name='firm', zone='zone-a', url='', price=1000),
        Spare(name='cheap', zone='zone-a', url='', price=300, reclaimable=True),
    ]
    return TargetMarket(spares, arrival_ms=5000)


def test_target_runs_after_its_arrival_time_and_costs_until_release(market):
    assert market.submit_order(BUY, 0).state == 'accepted'
    assert market.list_targets('zone-a', 4999) == []
    assert [target.name for target in market.list_targets('zone-a', 5000)] == [
        'firm'
    ]
    assert market.compute_cost(5000 + HOUR_MS) == 1000
    release = replace(BUY, token='2.9', kind='release', target='firm')
    market.submit_order(release, 5000 + HOUR_MS)
    assert market.compute_cost(9 * HOUR_MS) == 1000


def test_reclaimable_target_stops_at_its_reclaim_time(market):
    market.submit_order(BUY, 0)
    market.submit_order(CHEAP, 0)
    market.schedule_reclaim('zone-a', '', at_ms=9000)
    notices = {
        target.name: target.reclaim_in_ms
        for target in market.list_targets('zone-a', 6000)
    }
    assert notices == {'firm': None, 'cheap': 3000}
    assert [target.name for target in market.list_targets('zone-a', 9000)] == [
        'firm'
    ]
    assert market.compute_cost(5000) < market.compute_cost(9000)


def test_order_is_unavailable_without_a_spare_target(market):
    market.unavailable_zones.add('zone-a')
    assert market.submit_order(BUY, 0).state == 'unavailable'
    market.unavailable_zones.clear()
    assert market.submit_order(replace(BUY, token='2.3'), 0).state == 'accepted'
    assert (
        market.submit_order(replace(BUY, token='2.4'), 0).state == 'unavailable'
    )
    assert market.counts.unavailable == 2


def test_repeated_stale_and_differing_orders_are_counted(market):
    market.submit_order(BUY, 0)
    market.submit_order(replace(BUY, epoch=3), 0)
    market.submit_order(replace(BUY, token='1.7', epoch=1), 0)
    market.submit_order(replace(BUY, epoch=3, pool='other'), 0)
    other_zone = replace(BUY, token='1.8', epoch=1, zone='zone-b')
    market.submit_order(other_zone, 0)
    assert market.counts.stale == 1
    assert market.counts.repeated == 2
    assert market.counts.differing == 1
    assert len(market.list_targets('zone-a', 5000)) == 1


def test_stale_and_conflicting_usage_reports_are_counted():
    ledger = UsageLedger()
    usage = UsageReport(epoch=2, prompt_tokens=1, output_tokens=1, requests=1)
    assert ledger.record('tayside', '7', usage)
    assert ledger.record('tayside', '7', replace(usage, epoch=1))
    assert not ledger.record('tayside', '7', replace(usage, adjustments=1))
    assert ledger.counts.stale == 1
    assert ledger.counts.conflicting == 1


def test_instance_list_lags_behind_changes():
    old, new = (
        [ListedInstance(name=name, zone='a', address='', port=1)]
        for name in ('old', 'new')
    )
    listing = LaggedInstanceList(old, lag_ms=2000)
    listing.replace(new, 1000)
    assert listing.list_instances(2999) == old
    assert listing.list_instances(3000) == new
