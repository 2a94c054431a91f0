"""Deployment of a soak: platform, targets, instances and callers."""

import random
from pathlib import Path

import msgspec
import treq
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError, ConnectionLost
from twisted.web.client import ResponseNeverReceived
from twisted.web.server import Site

from cicadahoist.clock import Clock, wall_ms
from soak.callers import Caller
from soak.cuts import Cut
from soak.instances import ROOT, Instance
from soak.kept import KeptCaller
from soak.limits import PublishedLimits
from soak.platform_pages import CloudStandIn, StoreStandIn
from soak.promises import CONTACT_MS, PromiseChecker
from soak.proxy import HOST
from soak.targets import Target

ZONES = ('zone-a', 'zone-b')
CALLER_COUNT = 8
KEPT_CALLER_COUNT = 12
# Decode engines of each zone.
DECODE_COUNT = 2
READY_LIMIT_MS = 30_000
# More targets than there are, so that the holder goes on ordering them.
AUTOSCALE = {'min': 4, 'max': 4, 'boot-s': 0}
# Time after which every instance accepts a new key.
KEY_PROPAGATION_MS = 2000
ROUTES = (
    ('submit', 'unsafe', 'app', 1),
    ('lookup', 'safe', 'app', 2),
    ('check', 'streaming', 'llm', 1),
    ('ask', 'streaming', 'llm', 2),
)


class World:
    """
    Platform, targets and callers in this process, instances as processes.

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
        checks_times: bool,
        program: Path = ROOT,
        beside: Path | None = None,
    ) -> None:
        self.reactor = reactor
        self.clock = Clock.from_reactor(reactor)
        self.now_ms = self.clock.now_ms
        self.wall_ms = wall_ms
        self.rng = random.Random(seed)
        # Drills leave the series of the other faults as it is.
        self.drill_rng = random.Random(f'{seed}/drills')
        self.stutter_rng = random.Random(f'{seed}/stutters')
        self.promises = PromiseChecker(self.now_ms, checks_times=checks_times)
        self.store = StoreStandIn(reactor, era=1)
        self.store.late_rng = random.Random(f'{seed}/late')
        self.cloud = CloudStandIn(self.promises.check_platform_call)
        self._ports = []
        self.cloud_port = self._listen(self.cloud)
        self.keys = {f'k{number}': f'w{number}' for number in range(3)}
        self._granted_ms_by_key = dict.fromkeys(self.keys, self.now_ms())
        self.crashing_part = ''
        self._config_version = 0
        self.limits = PublishedLimits(self.now_ms)
        self.write_config()
        self.cut = Cut(self.promises, [], '')
        self.instances = [
            Instance(
                self,
                number,
                ZONES[number % len(ZONES)],
                folder,
                beside if beside and number % 2 else program,
            )
            for number in range(instances)
        ]
        self.targets = [
            Target(self, 'app', zone) for zone in (*ZONES, ZONES[0])
        ]
        for zone in ZONES:
            self.targets.append(Target(self, 'llm', zone, 'prefill'))
            for _ in range(DECODE_COUNT):
                self.targets.append(Target(self, 'llm', zone, 'decode'))
        # Callers have their own random source, so that the series of faults
        # depends on the seed alone.
        self.callers = [
            Caller(self, random.Random(f'{seed}/{number}'))
            for number in range(CALLER_COUNT)
        ]
        self.callers += [
            KeptCaller(self, random.Random(f'{seed}/kept/{number}'))
            for number in range(KEPT_CALLER_COUNT)
        ]

    async def start(self) -> None:
        for target in self.targets:
            target.start()
        for instance in self.instances:
            instance.start()
        end_ms = self.now_ms() + READY_LIMIT_MS
        for instance in self.instances:
            while not await self.is_ready(instance):
                if self.now_ms() > end_ms:
                    self.promises.report_breach(
                        'READY', f'{instance.name} is not ready'
                    )
                    return
                await self.clock.sleep(100)
        for caller in self.callers:
            Deferred.fromCoroutine(caller.run()).addErrback(self.report_defect)

    async def stop(self) -> None:
        for caller in self.callers:
            caller.is_stopped = True
        for instance in self.instances:
            instance.stop()
        for target in self.targets:
            target.stop()
        self.store.close()
        for port in self._ports:
            port.stopListening()
        await self.clock.sleep(300)

    async def is_ready(self, instance: Instance) -> bool:
        try:
            answer = await treq.get(
                instance.ready_url, persistent=False, timeout=1
            )
            await answer.content()
        except (ConnectError, ConnectionLost, ResponseNeverReceived):
            return False
        except Exception:  # noqa: BLE001
            return False
        return answer.code == 200

    def write_config(self) -> None:
        """Write a configuration with the current keys."""
        self._config_version += self.rng.randint(1, 4)
        routes = [
            {
                'name': name,
                'host': 'h.example',
                'path-prefix': f'/{name}/',
                'kind': kind,
                'service': service,
                'timeout-ms': 6000,
                'target-latency-ms': 500,
                'max-attempts': attempts,
                'sticky': service == 'llm',
                'resumable': name == 'ask',
            }
            for name, kind, service, attempts in ROUTES
        ]
        engine = {'slots': 16, 'kv-capacity-tokens': 232_000}
        config = {
            'version': self._config_version,
            'routes': routes,
            'services': [
                {'name': 'app', 'autoscale': AUTOSCALE},
                {'name': 'llm', 'engine': engine},
            ],
            'limits': msgspec.to_builtins(self.limits.find(0)),
            'tenants': [
                {'name': workspace, 'api-keys': [key]}
                for key, workspace in self.keys.items()
            ],
        }
        self.store.put('config', 'main', config)

    def replace_key(self) -> None:
        """Withdraw a key and grant a new one to its workspace."""
        key = self.rng.choice(sorted(self.keys))
        workspace = self.keys.pop(key)
        self.promises.withdrawn_ms_by_key[key] = self.now_ms()
        new_key = f'k{self.rng.getrandbits(32):x}'
        self.keys[new_key] = workspace
        self._granted_ms_by_key[new_key] = self.now_ms()
        self.write_config()

    def list_settled_keys(self) -> set[str]:
        """Return the keys that all instances must accept, none if disturbed."""
        since_ms = self.now_ms() - KEY_PROPAGATION_MS
        if (
            self.promises.disturbed_ms_by_instance.get('', 0)
            > since_ms - CONTACT_MS
        ):
            return set()
        if any(
            not self.promises.is_undisturbed(instance.name, since_ms)
            for instance in self.instances
        ):
            return set()
        return {
            key for key in self.keys if self._granted_ms_by_key[key] < since_ms
        }

    def pop_handle_owner(self, source: str) -> str | None:
        """
        Remove the handle of a KV cache at its target.

        :param source: address of the target and name of the handle
        :return: attempt that the cache belongs to, or ``None`` if unknown
        """
        address, _, name = source.rpartition('/')
        for target in self.targets:
            if target.links.has_address(address):
                return target.attempt_by_handle.pop(name, None)
        return None

    def listen_for_store(self, instance: str) -> int:
        """Return the port at which an instance reaches the store."""
        port = self._listen(self.store)
        self.store.instance_by_port[port] = instance
        return port

    def find_holder(self) -> Instance:
        """Return the instance that last acted as the holder of the duties."""
        name = self.promises.duties.last_holder
        holders = [one for one in self.instances if one.name == name]
        return self.drill_rng.choice(holders or self.instances)

    def list_connected_instances(self) -> list[Instance]:
        """Return the instances that are not cut off from the targets."""
        return [
            instance
            for instance in self.instances
            if instance.name not in self.promises.cut_instances
        ]

    def _listen(self, pages) -> int:
        port = self.reactor.listenTCP(
            0, Site(pages.app.resource()), interface=HOST
        )
        self._ports.append(port)
        return port.getHost().port

    def report_defect(self, failure) -> None:
        self.promises.report_breach('SOAK', failure.getTraceback())
