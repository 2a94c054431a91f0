"""A store in memory that fails on command."""

from twisted.internet.defer import Deferred

from cicadahoist.errors import (
    HistoryGoneError,
    StoreBusyError,
    StoreUnavailableError,
    VersionConflictError,
)
from cicadahoist.objects import Change, Changes, ObjectPage, StoredObject

PAGE = 2


class FakeObjects:
    """Objects by kind and name, with watches."""

    def __init__(self) -> None:
        self.revision = 10
        self.kinds = {}
        self.log = []
        self.oldest = 0
        self.failure = None
        self.loses_answers = False
        self.waiting = []
        self.calls = []

    def put(self, kind, name, spec):
        """Write as another writer does."""
        self.revision += 1
        stored = StoredObject(name, self.revision, spec)
        self.kinds.setdefault(kind, {})[name] = stored
        self._publish(kind, Change(stored, False))
        return self.revision

    def drop(self, kind, name):
        """Remove as another writer does."""
        self.revision += 1
        stored = self.kinds[kind].pop(name)
        self._publish(kind, Change(stored, True))

    def names(self, kind):
        return sorted(self.kinds.get(kind, {}))

    def cut(self):
        """Break all waiting watches."""
        waiting, self.waiting = self.waiting, []
        for _, _, answer in waiting:
            answer.errback(StoreUnavailableError('cut', remedy='again'))

    def quiet(self):
        """Answer all waiting watches that nothing has changed."""
        waiting, self.waiting = self.waiting, []
        for _, _, answer in waiting:
            answer.callback(Changes([], self.revision))

    async def read_page(self, kind, *, after='', may_lag=False):
        self._call('page', kind)
        names = [name for name in self.names(kind) if name > after]
        found = [self.kinds[kind][name] for name in names[:PAGE]]
        return ObjectPage(found, len(names) > PAGE, self.revision)

    async def get(self, kind, name):
        self._call('get', kind)
        return self.kinds.get(kind, {}).get(name)

    async def watch(self, kind, after, wait_ms):
        self._call('watch', kind)
        if after < self.oldest:
            raise HistoryGoneError('gone', remedy='list')
        seen = [
            change
            for revision, logged, change in self.log
            if revision > after and logged == kind
        ]
        if seen:
            return Changes(seen, self.revision)
        answer = Deferred()
        self.waiting.append((kind, after, answer))
        return await answer

    async def create(self, kind, name, spec):
        self._call('create', kind)
        if name in self.kinds.get(kind, {}):
            raise VersionConflictError('exists', remedy='read')
        return self._written(self.put(kind, name, spec))

    async def replace(self, kind, name, spec, expected=0):
        self._call('replace', kind)
        stored = self.kinds.get(kind, {}).get(name)
        if stored is None or expected not in {0, stored.revision}:
            raise VersionConflictError('other', remedy='read')
        return self._written(self.put(kind, name, spec))

    async def delete(self, kind, name, expected=0):
        self._call('delete', kind)
        if name in self.kinds.get(kind, {}):
            self.drop(kind, name)

    def _written(self, revision):
        if self.loses_answers:
            raise StoreUnavailableError('lost', remedy='read')
        return revision

    def _call(self, call, kind):
        self.calls.append((call, kind))
        if self.failure == 'busy':
            raise StoreBusyError('busy', remedy='later')
        if self.failure == 'down':
            raise StoreUnavailableError('down', remedy='later')

    def _publish(self, kind, change):
        self.log.append((self.revision, kind, change))
        still = []
        due = []
        for entry in self.waiting:
            (due if entry[0] == kind else still).append(entry)
        self.waiting = still
        for _, _, answer in due:
            answer.callback(Changes([change], self.revision))
