"""
Polls the engines of this entry's zone for load and cache events.

One entry of the zone, chosen by rendezvous hashing, polls each engine and
broadcasts its report to the other entries of the zone.
"""

from twisted.internet.defer import Deferred, DeferredList
from twisted.internet.task import LoopingCall

from cicadahoist.clock import MS_PER_S
from cicadahoist.entry.context import EntryContext
from cicadahoist.errors import CicadahoistError
from cicadahoist.ids import rendezvous
from cicadahoist.log import get_logger
from cicadahoist.mesh.node import MeshNode
from cicadahoist.messages import InstanceInfo, TargetReport, TargetReports
from cicadahoist.policy.load import ReportedLoad
from cicadahoist.table import RouteKind, Target

logger = get_logger(__name__)

POLL_PERIOD_MS = 2000
HEX_BASE = 16


class TargetPoller:
    """
    Polls the engines that are assigned to this entry.

    :param context: shared objects of the entry
    :param node: this instance's node in the mesh
    """

    __slots__ = ('_context', '_loop', '_next_event_by_target', '_node')

    def __init__(self, context: EntryContext, node: MeshNode) -> None:
        self._context = context
        self._node = node
        self._next_event_by_target: dict[str, int] = {}
        self._loop = LoopingCall(self.poll)
        self._loop.clock = context.clock.scheduler
        node.subscribe(TargetReports, self._receive_reports)

    async def start(self) -> None:
        """Start polling."""
        self._loop.start(POLL_PERIOD_MS / MS_PER_S)

    async def stop(self) -> None:
        """Stop polling."""
        self._loop.stop()

    def poll(self) -> 'Deferred[None]':
        """Poll all engines assigned to this entry once."""
        polling = Deferred.fromCoroutine(self._poll_all())
        polling.addErrback(
            lambda failure: logger.error(
                'polling the engines failed: {0}', failure
            )
        )
        return polling

    async def _poll_all(self) -> None:
        polls = [
            Deferred.fromCoroutine(self._poll(target))
            for target in self._list_assigned()
        ]
        results = await DeferredList(polls, consumeErrors=True)
        by_target = {
            name: report
            for is_done, polled in results
            if is_done and polled is not None
            for name, report in (polled,)
        }
        if by_target:
            reports = TargetReports(by_target=by_target)
            self._apply_reports(reports)
            self._node.broadcast_zone(reports)

    def _list_assigned(self) -> list[Target]:
        own = self._node.info
        names = sorted(self._node.view.zone_live())
        return [
            target
            for target in self._context.table().targets_by_name.values()
            if target.kind is RouteKind.model
            and target.zone == own.zone
            and rendezvous(target.name, names) == [own.name]
        ]

    async def _poll(self, target: Target) -> tuple[str, TargetReport] | None:
        try:
            load = await self._context.engines.fetch_load(target)
            await self._poll_cache(target)
        except CicadahoistError as error:
            logger.debug('polling an engine failed: {0}', error)
            return None
        report = TargetReport(
            age_ms=load.age_ms,
            role=load.role,
            running=load.running,
            queued=load.queued,
            prefill_tokens=load.prefill_tokens,
            draining=load.draining,
        )
        return target.name, report

    async def _poll_cache(self, target: Target) -> None:
        next_event = self._next_event_by_target.get(target.name, 0)
        cache_events = await self._context.engines.fetch_cache_events(
            target, next_event
        )
        self._next_event_by_target[target.name] = cache_events.next
        prefixes = self._context.dispatcher.prefixes
        for event in cache_events.events:
            block = int(event.block, HEX_BASE)
            if event.kind == 'stored':
                prefixes.record_stored(target.name, (block,))
            else:
                prefixes.record_evicted(target.name, block)

    def _receive_reports(
        self, sender: InstanceInfo, reports: TargetReports
    ) -> None:
        self._apply_reports(reports)

    def _apply_reports(self, reports: TargetReports) -> None:
        now_ms = self._context.clock.now_ms()
        for name, report in reports.by_target.items():
            self._context.dispatcher.loads.apply_report(
                name,
                ReportedLoad(
                    age_ms=report.age_ms,
                    role=report.role,
                    running=report.running,
                    queued=report.queued,
                    prefill_tokens=report.prefill_tokens,
                    draining=report.draining,
                ),
                now_ms,
            )
