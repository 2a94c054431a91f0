"""Charts of all protocols with their guards and outputs, by chart name."""

from cicadahoist.protocol.claims import CLAIM_KIT
from cicadahoist.protocol.drain import DRAIN_KIT
from cicadahoist.protocol.lease import LEASE_KIT
from cicadahoist.protocol.machine import ChartKit
from cicadahoist.protocol.membership import PEER_KIT
from cicadahoist.protocol.orders import ORDER_KIT
from cicadahoist.protocol.revision import REVISION_KIT
from cicadahoist.protocol.usage_window import USAGE_KIT

# Stands for a guard outside the charts: the kernel kills a lease holder at the
# end of its term.
KERNEL_TIMER = 'kernel.timer'

KIT_BY_CHART: dict[str, ChartKit] = {
    kit.chart.name: kit
    for kit in (
        LEASE_KIT,
        ORDER_KIT,
        CLAIM_KIT,
        USAGE_KIT,
        REVISION_KIT,
        DRAIN_KIT,
        PEER_KIT,
    )
}
