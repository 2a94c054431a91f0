"""
Test ``cicadahoist-front`` as a process against the platform's interface.

Guards against faults in assembly, configuration reload, shutdown and operators'
commands, which the tests of single modules do not cover.
"""

import os
import sys

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.utils import getProcessOutputAndValue

from cicadahoist.clock import wall_ms
from cicadahoist.policy.crash_containment import PartHold
from cicadahoist.serving.held_part_records import (
    HELD_PARTS_KIND,
    get_object_name,
)
from tests.test_platform.front_process import FrontProcessCase, config


class FrontProcessTest(FrontProcessCase):
    async def test_the_whole_path_and_a_graceful_end(self):
        await self.until_ready()
        assert (await self.post('/submit/x'))[0] == 200
        code, body = await self.post(
            '/check/x',
            **{
                'X-Cicadahoist-Model': 'm',
                'X-Cicadahoist-Token-Count': '9000,80',
                'X-Cicadahoist-Prompt-Prefix': 'aa:6000,bb:3000',
            },
        )
        assert code == 200
        assert body == b'id: 1\ndata: t\n\n'
        sources = [
            headers.get(b'x-cicadahoist-kv-source')
            for _, headers in self.targets.seen
        ]
        assert sources[-1].endswith(b'/h1')
        assert (await self.post('/submit/x', key='none'))[0] == 401
        self.store.put('config', 'main', config(2, ['k2']))
        while (await self.post('/submit/x'))[0] != 401:
            await self.clock.sleep(20)
        while not any(path == '/usage' for path, _, _ in self.cloud.calls):
            await self.clock.sleep(100)
        assert await self.get(f'{self.ready}/metrics') == 200
        self.program.transport.signalProcess('HUP')
        self.targets.delay_s = 1
        late = Deferred.fromCoroutine(self.post('/submit/x', key='k2'))
        await self.clock.sleep(300)
        self.program.transport.signalProcess('TERM')
        assert (await late)[0] == 200
        ended = await self.program.ended
        assert ended.exitCode == 0, self.program.output[-2000:]
        for message in (b'"starting"', b'SIGHUP', b'"asked to stop"'):
            assert message in self.program.output

    async def run_operator(self, *arguments):
        """Run a command of the operators' program, and return its output."""
        environment = dict(os.environ)
        environment.pop('CICADAHOIST_CONFIG', None)
        output, errors, code = await getProcessOutputAndValue(
            sys.executable,
            ['-m', 'cicadahoist.cmd.operator', *arguments],
            env=environment,
            path=os.getcwd(),
        )
        assert code == 0, errors
        return output

    async def test_a_release_by_an_operator_reaches_a_running_instance(self):
        hold = PartHold(
            part='aa',
            workspaces=('w1',),
            since_ms=wall_ms(),
            crash_count=3,
            targets=('d1',),
        )
        self.store.put(
            HELD_PARTS_KIND, get_object_name('aa'), msgspec.to_builtins(hold)
        )
        await self.until(lambda: b'prompt part held' in self.program.output)
        option = f'--platform-store={self.store_address}'
        listed = await self.run_operator('part', 'list', option)
        assert b'held' in listed
        released = await self.run_operator('part', 'release', 'aa', option)
        assert b'released' in released
        await self.until(lambda: b'prompt part released' in self.program.output)
