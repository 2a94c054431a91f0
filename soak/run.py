"""Run of one seed: faults, planned work without faults, recovery."""

import random
from pathlib import Path
from traceback import format_exc

from twisted.internet.defer import Deferred

from soak.callers import Caller
from soak.cuts import choose_cut
from soak.faults import (
    FAULTS,
    HOLDER_FAULTS,
    PLANS,
    crash_engine,
    drill,
    stutter,
)
from soak.instances import ROOT
from soak.promises import CONTACT_MS
from soak.world import World

STORM_MS = 7000
PLANNED_MS = 7000
MIN_CUT_MS = 4000
MAX_CUT_MS = 10_000
DRILL_COUNTS = (2, 4)
# The holder of the duties is struck at most so long before or after a drill.
MAX_STRIKE_MS = 2000
# A takeover ends within the longest pause.
DRILL_PAUSES_MS = (1000, 9000)
FIRST_TRY_MS = 40
STUTTER_PAUSES_MS = (100, 2500)
KINDS = ('submit', 'lookup', 'ask', 'check')
# Share of planned work that comes with new limits of callers.
LIMITS_SHARE = 0.4
# Time for instances and targets to recover after all faults are healed.
RECOVERY_LIMIT_MS = 9000
PROBE_COUNT = 60
SERVED_SHARE = 0.8


class Soak:
    """
    Runs one seed.

    :param reactor: reactor of the soak
    :param seed: seed of all random choices
    :param instances: number of instances
    :param folder: folder for settings and logs of the instances
    :param checks_times: whether bounds in time are checked
    :param program: folder of the build that the instances run
    :param beside: folder of another build, which every second instance runs
    """

    def __init__(
        self,
        reactor,
        seed: int,
        instances: int,
        folder: Path,
        *,
        checks_times: bool = True,
        program: Path = ROOT,
        beside: Path | None = None,
    ) -> None:
        self.seed = seed
        self.world = World(
            reactor,
            seed,
            instances,
            folder,
            checks_times=checks_times,
            program=program,
            beside=beside,
        )
        # First tries leave the series of faults as it is.
        self._try_rng = random.Random(f'{seed}/tries')
        self.injected: list[str] = []
        self.cuts: list[str] = []
        self._heal_callbacks: list = []
        self._is_recovering = False

    async def run(self, seconds: float) -> dict:
        """
        Run the seed.

        :param seconds: duration of the faults and planned work, in s
        :return: the verdict to print
        """
        world = self.world
        try:
            await world.start()
            self._spawn(self._run_stutters())
            end_ms = world.now_ms() + 1000 * seconds
            while world.now_ms() < end_ms:
                await self._run_storm()
                await self._run_drills()
                await self._run_planned_work()
                await self._run_cut()
            await self._check_recovery()
        except Exception:
            world.promises.report_breach('SOAK', format_exc())
        await world.stop()
        return {
            'seed': self.seed,
            'broken': world.promises.breaches,
            'cuts': self.cuts,
            'struck': len(self.injected),
            'kinds': sorted(set(self.injected)),
            'outcomes': dict(sorted(world.promises.count_by_outcome.items())),
            'duties': dict(sorted(world.promises.duties.count_by_duty.items())),
            'tokens': sorted(world.promises.duties.tokens),
            'late writes': world.store.late_count,
            'met': world.store.met_count,
        }

    async def _run_storm(self) -> None:
        """Inject overlapping faults and planned work, then heal all faults."""
        world = self.world
        end_ms = world.now_ms() + STORM_MS
        while world.now_ms() < end_ms:
            self._inject(world.rng.choice(sorted(FAULTS)))
            if world.rng.random() < 0.3:
                self._inject(world.rng.choice(sorted(PLANS)))
            await world.clock.sleep(world.rng.uniform(200, 1500))
        self._heal_all()
        world.promises.record_disturbance('')
        await world.clock.sleep(CONTACT_MS + 1000)

    async def _run_drills(self) -> None:
        """Let the store come back from copies, and strike the holder."""
        world = self.world
        rng = world.drill_rng
        for _ in range(rng.randint(*DRILL_COUNTS)):
            actions = [('drill', drill), ('crash_engine', crash_engine)]
            strike = rng.choice(sorted(HOLDER_FAULTS))
            actions.insert(rng.choice((0, 2)), (strike, HOLDER_FAULTS[strike]))
            for name, action in actions:
                self._strike(name, action, rng)
                await world.clock.sleep(rng.uniform(0, MAX_STRIKE_MS))
            await world.clock.sleep(rng.uniform(*DRILL_PAUSES_MS) / 2)
            self._strike('crash_engine', crash_engine, rng)
            await world.clock.sleep(rng.uniform(*DRILL_PAUSES_MS) / 2)
        self._heal_all()
        world.promises.record_disturbance('')
        await world.clock.sleep(CONTACT_MS + 1000)

    async def _run_stutters(self) -> None:
        """Let targets stutter beside all other faults and planned work."""
        rng = self.world.stutter_rng
        while not self._is_recovering:
            self.injected.append(stutter.__name__)
            self._heal_later(stutter(self.world), rng)
            await self.world.clock.sleep(rng.uniform(*STUTTER_PAUSES_MS))

    async def _run_planned_work(self) -> None:
        """Do only planned work, which must not interrupt any request."""
        world = self.world
        end_ms = world.now_ms() + PLANNED_MS
        while world.now_ms() < end_ms:
            self._inject(world.rng.choice(sorted(PLANS)))
            if world.rng.random() < LIMITS_SHARE:
                self._inject('change_limits')
            await world.clock.sleep(world.rng.uniform(300, 2000))

    async def _run_cut(self) -> None:
        """Cut instances off from all targets, beside planned work."""
        world = self.world
        while any(one.is_ending(world.now_ms()) for one in world.instances):
            await world.clock.sleep(FIRST_TRY_MS)
        crashing_part, world.crashing_part = world.crashing_part, ''
        world.cut = choose_cut(world)
        end_ms = world.now_ms() + world.rng.uniform(MIN_CUT_MS, MAX_CUT_MS)
        self.injected.append(f'cut {world.cut.fault}')
        world.cut.begin(world.targets)
        # One of the others must stay, or nothing can be compared.
        may_roll = len(world.list_connected_instances()) > 1
        plan_ms = world.now_ms()
        while world.now_ms() < end_ms:
            if world.now_ms() >= plan_ms:
                name = world.rng.choice(sorted(PLANS))
                if name != 'roll' or may_roll:
                    self._inject(name)
                may_roll = may_roll and name != 'roll'
                plan_ms = world.now_ms() + world.rng.uniform(500, 2500)
            self._send_first_try()
            await world.clock.sleep(FIRST_TRY_MS)
        world.cut.heal(world.targets)
        await world.clock.sleep(CONTACT_MS + 1000)
        world.cut.check()
        self.cuts.append(str(world.cut))
        world.crashing_part = crashing_part

    def _send_first_try(self) -> None:
        """Send a request on a connection of its own."""
        world = self.world

        async def send() -> None:
            caller = Caller(world, self._try_rng)
            await caller.send_request(self._try_rng.choice(KINDS))
            caller.drop_connection()

        self._spawn(send())

    def _spawn(self, running) -> None:
        report_defect = self.world.report_defect
        Deferred.fromCoroutine(running).addErrback(report_defect)

    async def _check_recovery(self) -> None:
        world = self.world
        world.crashing_part = ''
        world.promises.check_sound_prompts()
        self._is_recovering = True
        self._heal_all()
        await world.clock.sleep(RECOVERY_LIMIT_MS)
        caller = Caller(world, world.rng)
        outcomes = []
        for _ in range(PROBE_COUNT):
            kind = world.rng.choice(KINDS)
            outcomes.append(await caller.send_request(kind))
        if outcomes.count('served') < SERVED_SHARE * PROBE_COUNT:
            world.promises.report_breach('RECOVER', f'{outcomes}')

    def _inject(self, name: str) -> None:
        action = FAULTS.get(name) or PLANS[name]
        self._strike(name, action, self.world.rng)

    def _strike(self, name: str, action, rng) -> None:
        world = self.world
        self.injected.append(name)
        if name not in PLANS:
            world.promises.record_disturbance('')
        heal = action(world)
        if heal is not None:
            self._heal_later(heal, rng)

    def _heal_later(self, heal, rng) -> None:
        self._heal_callbacks.append(heal)
        self.world.clock.call_later(rng.uniform(300, 3500), self._heal, heal)

    def _heal(self, heal) -> None:
        if heal in self._heal_callbacks:
            self._heal_callbacks.remove(heal)
            heal()

    def _heal_all(self) -> None:
        for heal in list(self._heal_callbacks):
            self._heal(heal)
