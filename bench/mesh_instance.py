"""One process of ``bench.mesh``: a mesh instance, or an operator."""

import json
import os
import sys
import time
from pathlib import Path

from twisted.internet import reactor
from twisted.internet.defer import Deferred

from cicadahoist.clock import Clock, wall_ms
from cicadahoist.config import Config
from cicadahoist.ids import new_nonce
from cicadahoist.log import configure_logging
from cicadahoist.mesh.local_pair import NngPair
from cicadahoist.mesh.local_port import LocalPort
from cicadahoist.mesh.node import MeshNode
from cicadahoist.mesh.table_sync import TableSync
from cicadahoist.mesh.transport import NngTransport
from cicadahoist.mesh.usage import UsageLedger
from cicadahoist.messages import InstanceInfo, UsageCount
from cicadahoist.outside.store import HttpStore
from cicadahoist.outside.tablestore import RowChange, TableStore
from cicadahoist.table import Workspace

ZONE = 'a'
WINDOW_MS = 60_000


class CountingTransport(NngTransport):
    """Counts messages and bytes in both directions."""

    sent = received = sent_bytes = received_bytes = 0

    def start(self, receiver) -> None:
        def count(wire: bytes) -> None:
            self.received += 1
            self.received_bytes += len(wire)
            receiver(wire)

        super().start(count)

    def send(self, address: str, wire: bytes) -> bool:
        self.sent += 1
        self.sent_bytes += len(wire)
        return super().send(address, wire)


class CountingStore(HttpStore):
    """Counts calls of the store."""

    calls = 0

    async def _call(self, *args, **options):
        self.calls += 1
        return await super()._call(*args, **options)


def build_config(options: dict) -> Config:
    return Config.from_values(store__url=options['store'])


def read_status(key: str) -> int:
    """Return a number from the status of this process, 0 if absent."""
    for line in Path('/proc/self/status').read_text().splitlines():
        if line.startswith(key):
            return int(line.split()[1])
    return 0


class Instance:
    """Mesh node with table and usage ledger; prints a report at the end."""

    def __init__(self, options: dict) -> None:
        self.options = options
        self.clock = Clock.from_reactor(reactor)
        self.transport = CountingTransport(
            reactor, '127.0.0.1', options['port']
        )
        info = InstanceInfo(
            name=options['name'],
            zone=ZONE,
            address='127.0.0.1',
            port=options['port'],
            incarnation=new_nonce(),
        )
        self.node = MeshNode(
            info,
            self.transport,
            self.clock,
            seeds=[f'127.0.0.1:{port}' for port in options['seeds']],
        )
        self.store = CountingStore.from_config(build_config(options), reactor)
        self.sync = TableSync(self.store, self.node, self.clock)
        self.ledger = UsageLedger(self.node, self.store, self.clock)
        self.local: LocalPort | None = None
        if 'local_port' in options:
            pair = NngPair(reactor, options['local_port'], listens=True)
            self.local = LocalPort(self.node, pair, self.clock, 500)
        self.in_force_ms_by_revision: dict[int, int] = {}
        self.usage_waits_s: list[float] = []
        self.sync.add_change_listener(self._record_in_force)

    async def run(self) -> None:
        await self.node.start()
        await self.sync.start()
        await self.ledger.start()
        if self.local is not None:
            await self.local.start()
        await self.clock.sleep(self.options['warm_up_ms'])
        if self.options['requests_per_s']:
            self._record_usage()
        begin = self._snapshot()
        await self.clock.sleep(self.options['measure_ms'])
        self._print_report(begin, self._snapshot())
        reactor.stop()

    def _record_in_force(self, _, table) -> None:
        self.in_force_ms_by_revision[table.revision] = self.clock.now_ms()

    def _record_usage(self) -> None:
        self.clock.call_later(
            1000 / self.options['requests_per_s'], self._record_usage
        )
        count = UsageCount(
            request=new_nonce(),
            entry=self.options['name'],
            window=wall_ms() // WINDOW_MS,
            workspace='w',
            route='r',
            prompt_tokens=1000,
            output_tokens=300,
        )
        started_s = time.perf_counter()
        Deferred.fromCoroutine(self.ledger.record(count)).addCallback(
            lambda _: self.usage_waits_s.append(time.perf_counter() - started_s)
        )

    def _snapshot(self) -> dict:
        return {
            'cpu_s': time.process_time(),
            'time_s': time.monotonic(),
            'sent': self.transport.sent,
            'received': self.transport.received,
            'sent_bytes': self.transport.sent_bytes,
            'received_bytes': self.transport.received_bytes,
            'store_calls': self.store.calls,
        }

    def _print_report(self, begin: dict, end: dict) -> None:
        seconds = end.pop('time_s') - begin['time_s']
        report = {key: (end[key] - begin[key]) / seconds for key in end}
        report['name'] = self.options['name']
        report['live'] = len(self.node.live())
        report['watches'] = self.sync.is_watcher()
        report['rss_kb'] = read_status('VmRSS')
        report['threads'] = len(os.listdir('/proc/self/task'))
        report['in_force'] = self.in_force_ms_by_revision
        report['waits'] = self.usage_waits_s
        sys.stdout.write(f'report {json.dumps(report)}\n')


async def operate(options: dict) -> None:
    """Commit changes; print the commit time of each revision."""
    clock = Clock.from_reactor(reactor)
    store = HttpStore.from_config(build_config(options), reactor)
    table = TableStore(store)
    accepted = {}
    rows = [
        RowChange(row=Workspace(name=f'known-{number}'))
        for number in range(options['workspaces'])
    ]
    if rows:
        await table.commit(rows)
        await clock.sleep(options['settle_ms'])
    for number in range(options['changes']):
        row = Workspace(name=f'workspace-{number}')
        revision = await table.commit([RowChange(row=row)])
        accepted[revision] = clock.now_ms()
        await clock.sleep(options['change_period_ms'])
    sys.stdout.write(f'report {json.dumps(accepted)}\n')
    reactor.stop()


def main() -> None:
    options = json.loads(sys.argv[1])
    configure_logging('text', 'WARNING')
    work = operate(options) if 'changes' in options else Instance(options).run()
    reactor.callWhenRunning(
        lambda: Deferred.fromCoroutine(work).addErrback(
            lambda failure: sys.stdout.write(failure.getTraceback())
        )
    )
    reactor.run()


if __name__ == '__main__':
    main()
