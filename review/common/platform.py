"""Stand-ins for the platform's store and for its interface for duties."""

import asyncio
import copy
import json

from common.web import build_json_answer, read_request

OBJECTS = '/cicadahoist/objects/'
PAGE_SIZE = 500


class Store:
    """
    Versioned objects with watches.

    ``take_copy`` and ``restore_copy`` play the drill in which the store comes
    back from an older copy; ``Store-Era`` then rises by one.

    :param record: writes a line to the record of the case
    """

    def __init__(self, record):
        self._record = record
        self._objects = {}
        self._events = []
        self._revision = 1
        self._oldest = 1
        self._changed = asyncio.Event()
        self._writers = set()
        self._server = None
        self.era = 1
        self.is_away = False
        self.address = ''

    async def start(self, host='127.0.0.1'):
        """Begin to serve."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    def put(self, kind, name, spec):
        """Write an object; one that has this content stays as it is."""
        known = self._objects.setdefault(kind, {}).get(name)
        if known is not None and known['spec'] == spec:
            return known
        self._revision += 1
        created = known['metadata']['create-revision'] if known else None
        stored = {
            'metadata': {
                'name': name,
                'revision': self._revision,
                'create-revision': created or self._revision,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self._objects[kind][name] = stored
        self._publish(kind, stored, is_deleted=False)
        return stored

    def remove(self, kind, name):
        """Remove an object, if it is there."""
        stored = self._objects.get(kind, {}).pop(name, None)
        if stored is not None:
            self._revision += 1
            self._publish(kind, stored, is_deleted=True)
        return stored

    def take_copy(self):
        """Return a copy of all objects and of the revision."""
        return copy.deepcopy((self._objects, self._revision))

    def leave(self):
        """Go away: close all connections and answer nobody."""
        self.is_away = True
        for writer in list(self._writers):
            writer.transport.abort()

    def restore_copy(self, stored):
        """Come back from a copy."""
        self._objects, self._revision = copy.deepcopy(stored)
        self._events = []
        self._oldest = self._revision
        self.era += 1
        self.is_away = False
        self._wake()

    def _publish(self, kind, stored, *, is_deleted):
        event = {'deleted': is_deleted, 'object': stored}
        self._events.append((self._revision, kind, event))
        self._wake()

    def _wake(self):
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while not self.is_away:
                request = await read_request(reader)
                if request is None or self.is_away:
                    break
                status, content = await self._answer(request)
                if self.is_away:
                    break
                writer.write(
                    build_json_answer(status, content, {'Store-Era': self.era})
                )
                await writer.drain()
        except ConnectionError:
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, request):
        kind, _, name = request.path.removeprefix(OBJECTS).partition('/')
        if request.method == 'GET' and not name:
            if 'watch' in request.query:
                return await self._watch(kind, request.query)
            return self._list(kind, request.query)
        known = self._objects.get(kind, {}).get(name)
        if request.method == 'POST':
            return self._create(kind, request.json())
        if known is None:
            return 404, {}
        if request.method == 'GET':
            return 200, known
        sent = request.json() if request.method == 'PUT' else {}
        expected = sent.get('metadata', {}).get('revision')
        if 'revision' in request.query:
            expected = int(request.query['revision'])
        if expected not in {None, known['metadata']['revision']}:
            return 409, known
        if request.method == 'DELETE':
            self._note(request.method, kind, name)
            return 200, self.remove(kind, name)
        self._note(request.method, kind, name)
        return 200, self.put(kind, name, sent['spec'])

    def _create(self, kind, sent):
        name = sent['metadata']['name']
        known = self._objects.get(kind, {}).get(name)
        if known is not None:
            return 409, known
        self._note('POST', kind, name)
        return 200, self.put(kind, name, sent['spec'])

    def _note(self, method, kind, name):
        if kind == 'cicadahoist-leases':
            self._record('store', f'{method} {kind}/{name}')

    def _list(self, kind, query):
        after = query.get('after', '')
        objects = self._objects.get(kind, {})
        names = sorted(name for name in objects if name > after)
        page = [objects[name] for name in names[:PAGE_SIZE]]
        return 200, {
            'items': page,
            'has-more': len(names) > PAGE_SIZE,
            'as-of': self._revision,
        }

    async def _watch(self, kind, query):
        since = int(query['watch'])
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(query['wait-ms']) / 1000
        era = self.era
        while True:
            if since < self._oldest or since > self._revision:
                return 410, {}
            events = [
                event
                for revision, changed, event in self._events
                if revision > since and changed == kind
            ]
            left_s = end_s - loop.time()
            if events or left_s <= 0 or era != self.era:
                return 200, {'events': events, 'as-of': self._revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue


class Duties:
    """
    Interface for usage reports and orders; it checks no fencing token.

    ``calls`` holds the time, the path, the machine, the token and the body.

    :param record: writes a line to the record of the case
    """

    def __init__(self, record, now_s):
        self._record = record
        self._now_s = now_s
        self._server = None
        self.calls = []
        self.address = ''

    async def start(self, host='127.0.0.1'):
        """Begin to serve."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'

    async def _serve(self, reader, writer):
        try:
            request = await read_request(reader)
            while request is not None:
                writer.write(self._answer(request))
                request = await read_request(reader)
        finally:
            writer.transport.abort()

    def _answer(self, request):
        holder = request.headers['x-cicadahoist-duty-holder']
        token = int(request.headers['x-cicadahoist-fence-token'])
        content = request.json()
        self.calls.append((self._now_s(), request.path, holder, token, content))
        self._record(
            holder, f'{request.path} token {token} {json.dumps(content)}'
        )
        return build_json_answer(200, {})
