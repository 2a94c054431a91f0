"""One seed: storms, planned work in calm, and the recovery after all."""

from pathlib import Path
from traceback import format_exc

from soak.callers import Caller
from soak.faults import FAULTS, PLANS
from soak.promises import CONTACT_MS
from soak.world import World

STORM_MS = 7000
PLANNED_MS = 7000
# All faults are healed; instances and targets have so long to recover.
RECOVER_MS = 9000
PROBES = 60
SERVED_SHARE = 0.8


class Soak:
    """
    Runs one seed.

    :param seed: draws all that happens
    :param instances: how many instances are started
    :param folder: takes settings and logs of the instances
    :param checks_times: whether bounds in time are judged too
    """

    def __init__(
        self,
        reactor,
        seed: int,
        instances: int,
        folder: Path,
        *,
        checks_times: bool = True,
    ) -> None:
        self.seed = seed
        self.world = World(
            reactor, seed, instances, folder, checks_times=checks_times
        )
        self.struck: list[str] = []
        self._heals: list = []

    async def run(self, seconds: float) -> dict:
        """Return the verdict, as it is printed."""
        world = self.world
        try:
            await world.start()
            end_ms = world.now_ms() + 1000 * seconds
            while world.now_ms() < end_ms:
                await self._storm()
                await self._plan()
            await self._recover()
        except Exception:
            world.promises.breach('SOAK', format_exc())
        await world.stop()
        return {
            'seed': self.seed,
            'broken': world.promises.broken,
            'struck': len(self.struck),
            'kinds': sorted(set(self.struck)),
            'outcomes': dict(sorted(world.promises.outcomes.items())),
            'reports': len(world.cloud.calls),
        }

    async def _storm(self) -> None:
        """Strike with faults in series that overlap, then heal them."""
        world = self.world
        end_ms = world.now_ms() + STORM_MS
        while world.now_ms() < end_ms:
            self._strike(world.draw.choice(sorted(FAULTS)))
            if world.draw.random() < 0.3:
                self._strike(world.draw.choice(sorted(PLANS)))
            await world.clock.sleep(world.draw.uniform(200, 1500))
        self._heal_all()
        world.promises.disturb('')
        await world.clock.sleep(CONTACT_MS + 1000)

    async def _plan(self) -> None:
        """Do planned work only, which must cut nothing."""
        world = self.world
        end_ms = world.now_ms() + PLANNED_MS
        while world.now_ms() < end_ms:
            self._strike(world.draw.choice(sorted(PLANS)))
            await world.clock.sleep(world.draw.uniform(300, 2000))

    async def _recover(self) -> None:
        world = self.world
        self._heal_all()
        await world.clock.sleep(RECOVER_MS)
        caller = Caller(world, world.draw)
        outcomes = []
        for _ in range(PROBES):
            kind = world.draw.choice(('submit', 'lookup', 'ask', 'check'))
            outcomes.append(await caller.ask(kind))
        if outcomes.count('served') < SERVED_SHARE * PROBES:
            world.promises.breach('RECOVER', f'{outcomes}')

    def _strike(self, name: str) -> None:
        world = self.world
        action = FAULTS.get(name) or PLANS[name]
        self.struck.append(name)
        if name in FAULTS:
            world.promises.disturb('')
        heal = action(world)
        if heal is None:
            return
        self._heals.append(heal)
        world.clock.call_later(world.draw.uniform(300, 3500), self._heal, heal)

    def _heal(self, heal) -> None:
        if heal in self._heals:
            self._heals.remove(heal)
            heal()

    def _heal_all(self) -> None:
        for heal in list(self._heals):
            self._heal(heal)
