"""An in-memory store whose failures the tests choose."""

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
    """
    Objects by kind and name, with watches.

    ``failure``: ``busy`` or ``down`` for all calls to fail so.
    ``drops_write_answers``: writes succeed, but their answers are lost.
    ``oldest_watchable``: watches from before this revision fail, as the
    history is gone.
    """

    def __init__(self) -> None:
        self.revision = 10
        self.era = 0
        self.kinds = {}
        self.log = []
        self.oldest_watchable = 0
        self.failure = None
        self.drops_write_answers = False
        self.pending_watches = []
        self.calls = []

    def put(self, kind, name, spec):
        """Write an object as another instance."""
        self.revision += 1
        stored = StoredObject(name, self.revision, spec)
        self.kinds.setdefault(kind, {})[name] = stored
        self._publish(kind, Change(stored, False))
        return self.revision

    def drop(self, kind, name):
        """Remove an object as another instance."""
        self.revision += 1
        stored = self.kinds[kind].pop(name)
        self._publish(kind, Change(stored, True))

    def come_back(self, revision):
        """Come back from a copy that was made at a revision."""
        self.era += 1
        self.revision = revision
        self.log = [entry for entry in self.log if entry[0] <= revision]
        self.kinds = {}
        for _, kind, change in self.log:
            objects = self.kinds.setdefault(kind, {})
            objects.pop(change.stored.name, None)
            if not change.is_removed:
                objects[change.stored.name] = change.stored
        self.break_watches()

    def names(self, kind):
        return sorted(self.kinds.get(kind, {}))

    def break_watches(self):
        """Fail all pending watches."""
        pending_watches, self.pending_watches = self.pending_watches, []
        for _, _, answer in pending_watches:
            answer.errback(StoreUnavailableError('cut', remedy='again'))

    def answer_unchanged(self):
        """End all pending watches without changes."""
        pending_watches, self.pending_watches = self.pending_watches, []
        for _, _, answer in pending_watches:
            answer.callback(Changes([], self.revision, self.era))

    async def read_page(self, kind, *, after='', may_lag=False):
        self._call('page', kind)
        names = [name for name in self.names(kind) if name > after]
        found = [self.kinds[kind][name] for name in names[:PAGE]]
        return ObjectPage(found, len(names) > PAGE, self.revision, self.era)

    async def get(self, kind, name):
        self._call('get', kind)
        return self.kinds.get(kind, {}).get(name)

    async def watch(self, kind, after, wait_ms):
        self._call('watch', kind)
        if after < self.oldest_watchable:
            raise HistoryGoneError('gone', remedy='list')
        seen = [
            change
            for revision, logged, change in self.log
            if revision > after and logged == kind
        ]
        if seen:
            return Changes(seen, self.revision, self.era)
        answer = Deferred()
        self.pending_watches.append((kind, after, answer))
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
        stored = self.kinds.get(kind, {}).get(name)
        if stored is None:
            return
        if expected not in {0, stored.revision}:
            raise VersionConflictError('other', remedy='read')
        self.drop(kind, name)

    def _written(self, revision):
        if self.drops_write_answers:
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
        for entry in self.pending_watches:
            (due if entry[0] == kind else still).append(entry)
        self.pending_watches = still
        for _, _, answer in due:
            answer.callback(Changes([change], self.revision, self.era))
