"""
Test the adapter to plain services against the stand-in over loopback.

A call must not be sent on a reused connection, where a close by the service
leaves open whether it ran, and a copy of an earlier answer counts for its own.
"""

from twisted.internet.defer import Deferred

from cicadahoist.errors import LostAfterSendError, NotSentError
from cicadahoist.ids import body_digest
from cicadahoist.outside.service import HttpService
from cicadahoist.standin.faults import Fault
from cicadahoist.standin.service import ServiceServer
from tests.loopback import LoopbackCase, target_at

KEY = {'Idempotency-Key': 'k1'}


class HttpServiceTest(LoopbackCase):
    def setUp(self):
        super().setUp()
        self.service = ServiceServer('filing-1', self.clock)
        self.target = target_at(self.serve(self.service.app))
        self.service_adapter = self.adapter(HttpService)

    def call(self):
        return self.service_adapter.call(
            self.target, 'a1', 'POST', '/returns/7?x=1', KEY, b'body'
        )

    def runs(self):
        return self.service.seen().runs_by_key.get('k1', 0)

    async def test_call_reaches_the_service_with_its_headers(self):
        for _ in range(2):
            response = await self.call()
            answer = await response.read_json()
            assert answer['path'] == '/returns/7'
            assert answer['body'] == 'body'
        seen = self.service.seen()
        assert seen.runs_by_key == {'k1': 2}
        assert seen.runs_by_body == {body_digest(b'body'): 2}
        headers = seen.calls[0].headers
        assert headers['x-request-id'] == 'a1'
        assert headers['idempotency-key'] == 'k1'
        assert 'authorization' not in headers

    async def test_call_with_a_lost_answer_runs_once(self):
        self.service.set_fault(Fault(kind='lose-answer'))
        await (await self.answer_one_call()).read_body()
        for _ in range(2):
            before = self.runs()
            await self.raises(LostAfterSendError, self.call())
            assert self.runs() == before + 1

    async def answer_one_call(self):
        """Return the answer to a call before those that are lost."""
        self.service.set_fault(Fault(kind='none'))
        response = await self.call()
        self.service.set_fault(Fault(kind='lose-answer'))
        return response

    async def test_each_call_uses_a_new_connection(self):
        for _ in range(2):
            await (await self.call()).read_body()
        calls = self.service.seen().calls
        assert [call.headers['connection'] for call in calls] == ['close'] * 2

    async def test_crash_faults_act_before_or_after_running(self):
        crashes = []
        self.service.crash = lambda: crashes.append(self.runs())
        self.service.set_fault(Fault(kind='die-after'))
        calling = Deferred.fromCoroutine(self.call())
        await self.until(lambda: crashes)
        calling.cancel()
        await self.raises(LostAfterSendError, calling)
        self.service.set_fault(Fault(kind='die-before'))
        await (await self.call()).read_body()
        assert crashes == [1, 1]

    async def test_cancelled_call_still_runs(self):
        self.service.set_fault(Fault(kind='slow', delay_ms=50))
        calling = Deferred.fromCoroutine(self.call())
        await self.until(lambda: self.service.seen().calls)
        calling.cancel()
        await self.raises(LostAfterSendError, calling)
        await self.until(self.runs)

    async def test_unreachable_service_raises_not_sent(self):
        self.target = target_at('http://127.0.0.1:1')
        await self.raises(NotSentError, self.call())
