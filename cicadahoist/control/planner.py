"""Plans changes of the engines of a zone while holding its lease."""

from cicadahoist.clock import Clock
from cicadahoist.control.engine_duty import EngineDuty
from cicadahoist.control.fleet_reader import FleetReader
from cicadahoist.control.lease_task import LeaseTask
from cicadahoist.log import get_logger
from cicadahoist.mesh.background import Background
from cicadahoist.policy.fleet import FleetView
from cicadahoist.policy.roles import RolePlanner
from cicadahoist.policy.weights import WeightPlanner
from cicadahoist.protocol.order_events import PlanOrder

logger = get_logger(__name__)

PLAN_PERIOD_MS = 2000


class Planner:
    """
    Runs the policies on the fleet view and requests the planned changes.

    :param task: competes for the lease of the zone's engines
    :param duty: executes the changes
    :param reader: builds the fleet view
    :param roles: policy for engine roles
    :param clock: clock of the process
    """

    __slots__ = (
        '_background',
        '_clock',
        '_duty',
        '_reader',
        '_roles',
        '_task',
        '_weights',
    )

    def __init__(
        self,
        task: LeaseTask,
        duty: EngineDuty,
        reader: FleetReader,
        roles: RolePlanner,
        clock: Clock,
    ) -> None:
        self._task = task
        self._duty = duty
        self._reader = reader
        self._roles = roles
        self._weights = WeightPlanner()
        self._clock = clock
        self._background = Background(clock, self._step)

    async def start(self) -> None:
        """Start planning periodically."""
        self._background.start()

    async def stop(self) -> None:
        """Stop planning."""
        self._background.stop()

    async def _step(self) -> None:
        await self._clock.sleep(PLAN_PERIOD_MS)
        if not self._task.is_holder:
            return
        view = await self._reader.read(self._duty.list_changing())
        if self._task.is_holder:
            self._plan(view)

    def _plan(self, view: FleetView) -> None:
        now_ms = self._clock.now_ms()
        plans = [
            PlanOrder(change.target, 'role', change.role.value)
            for change in self._roles.plan(view, now_ms)
        ]
        plans.extend(
            PlanOrder(load.target, 'model', load.model)
            for load in self._weights.plan(view, now_ms)
        )
        for plan in plans:
            if self._duty.request(plan):
                self._reader.record_expected(plan)
                logger.info(
                    'planned {0} {1} for {2}',
                    plan.kind,
                    plan.argument,
                    plan.target,
                )
