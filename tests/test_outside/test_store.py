"""
Test the store client against the stand-in store over loopback.

A write whose answer is lost may or may not have taken effect. It must raise an
error that says so, and must not be repeated by the client.
"""

from twisted.internet.defer import Deferred, gatherResults

from cicadahoist.errors import (
    StoreBusyError,
    StoreError,
    StoreUnavailableError,
    VersionConflictError,
)
from cicadahoist.outside.store import HttpStore
from cicadahoist.standin.faults import Fault
from cicadahoist.standin.objects import MAX_OBJECT_BYTES, ObjectModel
from cicadahoist.standin.store import StoreServer
from tests.loopback import LoopbackCase


class HttpStoreTest(LoopbackCase):
    def store(self, model, timeout_ms=5000):
        url = self.serve(StoreServer(model, self.clock).app)
        return self.adapter(
            HttpStore, store__url=url, store__timeout=timeout_ms
        )

    def setUp(self):
        super().setUp()
        self.model = ObjectModel()

    async def test_objects_are_versioned(self):
        store = self.store(self.model)
        assert await store.read('table/head') is None
        assert await store.write('table/head', b'a', 0) == 1
        assert await store.write('table/head', b'b', 1) == 2
        await store.write('lease', b'', 0)
        stored = await store.read('table/head')
        assert (stored.payload, stored.version) == (b'b', 2)
        assert await store.list_versions('table/') == {'table/head': 2}
        await store.remove('table/head', 2)
        assert await store.read('table/head') is None
        assert self.model.calls['write'] == 3

    async def test_write_with_another_version_conflicts(self):
        store = self.store(self.model)
        await store.write('lease', b'a', 0)
        for expected in (0, 2):
            await self.raises(
                VersionConflictError, store.write('lease', b'b', expected)
            )
        await self.raises(VersionConflictError, store.remove('lease', 2))
        assert (await store.read('lease')).payload == b'a'

    async def test_object_above_the_size_limit_is_rejected(self):
        store = self.store(self.model)
        payload = bytes(MAX_OBJECT_BYTES)
        await store.write('large', payload, 0)
        assert (await store.read('large')).payload == payload
        error = await self.raises(
            StoreError, store.write('larger', payload + b'x', 0)
        )
        assert 'split' in error.remedy

    async def test_watch_returns_at_a_change_or_its_timeout(self):
        store = self.store(self.model)
        assert await store.watch('head', 0, 1) is None
        watch = Deferred.fromCoroutine(store.watch('head', 0, 20_000))
        await self.until(lambda: self.model.calls['watch'] == 2)
        await store.write('head', b'a', 0)
        assert (await watch).payload == b'a'
        assert self.model.calls['watch'] == 2

    async def test_write_with_a_lost_answer_raises_unavailable(self):
        store = self.store(self.model)
        self.model.set_fault(Fault(kind='lose-answers', count=1))
        await self.raises(StoreUnavailableError, store.write('a', b'x', 0))
        assert (await store.read('a')).payload == b'x'

    async def test_removal_with_a_lost_answer_is_not_repeated(self):
        store = self.store(self.model)
        await store.write('a', b'x', 0)
        self.model.set_fault(Fault(kind='lose-answers', count=1))
        await self.raises(StoreUnavailableError, store.remove('a', 1))
        assert self.model.calls['remove'] == 1

    async def test_outage_raises_unavailable(self):
        store = self.store(self.model)
        self.model.set_fault(Fault(kind='outage'))
        await self.raises(StoreUnavailableError, store.write('a', b'x', 0))
        await self.raises(StoreUnavailableError, store.read('a'))
        await self.raises(StoreUnavailableError, store.watch('a', 0, 1))
        self.model.set_fault(Fault(kind='none'))
        assert await store.read('a') is None

    async def test_slow_write_takes_effect_after_the_timeout(self):
        store = self.store(self.model, timeout_ms=20)
        self.model.set_fault(Fault(kind='slow', delay_ms=100))
        await self.raises(StoreUnavailableError, store.write('a', b'x', 0))
        assert self.model.get('cicadahoist/a') is None
        await self.until(lambda: self.model.get('cicadahoist/a'))

    async def test_calls_above_the_rate_limit_raise_busy(self):
        model = ObjectModel(writes_per_s=3, reads_per_s=5)
        store = self.store(model)
        writes = [
            Deferred.fromCoroutine(store.write(f'{number}', b'', 0))
            for number in range(100)
        ]
        ended = await gatherResults(
            [
                write.addErrback(lambda failure: failure.value)
                for write in writes
            ]
        )
        refused = [end for end in ended if end != 1]
        assert len(refused) == model.calls['refused'] > 0
        assert {type(end) for end in refused} == {StoreBusyError}

    async def test_unreachable_store_raises_unavailable(self):
        store = self.adapter(HttpStore, store__url='http://127.0.0.1:1')
        await self.raises(StoreUnavailableError, store.read('a'))
