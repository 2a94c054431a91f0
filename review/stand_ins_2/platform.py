"""Stand-ins for the platform: the metadata store and the duty interface."""

import asyncio
import copy
import json
import time
from urllib.parse import unquote

from review.stand_ins_2.http import Server

OBJECTS = '/cicadahoist/objects/'
JSON = {'Content-Type': 'application/json'}


class Store:
    """
    Versioned objects with conditional writes and watches.

    It keeps copies of its past states, from which it can come back.
    """

    def __init__(self):
        self._era = 1
        self._is_away = False
        # Time, revision and objects of past states, oldest first.
        self._states = []
        # Called with each request, before it is handled.
        self.on_request = lambda request: None
        self.server = Server(self._handle)
        self._revision = 100
        self._objects_by_kind = {}
        self._events = []
        self._changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Write an object, as the operator and the workers do."""
        self._revision += 1
        objects = self._objects_by_kind.setdefault(kind, {})
        known = objects.get(name)
        created = self._revision
        if known is not None:
            created = known['metadata']['create-revision']
        objects[name] = {
            'metadata': {
                'name': name,
                'revision': self._revision,
                'create-revision': created,
                'finalizers': [],
                'deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        self._publish(kind, objects[name], deleted=False)
        return objects[name]

    def remove(self, kind, name):
        """Remove an object, if it exists."""
        stored = self._objects_by_kind.get(kind, {}).pop(name, None)
        if stored is not None:
            self._revision += 1
            self._publish(kind, stored, deleted=True)
        return stored

    def go_away(self):
        """Answer nothing but 503 until `come_back`."""
        self._is_away = True
        self._wake()

    def come_back(self, age_s):
        """Come back from a copy, in which what was written since is missing."""
        copied_s = time.monotonic() - age_s
        past = [state for state in self._states if state[0] <= copied_s]
        _, self._revision, objects = past[-1]
        self._objects_by_kind = copy.deepcopy(objects)
        self._events = [
            event for event in self._events if event[0] <= self._revision
        ]
        self._era += 1
        self._is_away = False

    def get_spec(self, kind, name):
        """Return what an object holds."""
        return self._objects_by_kind[kind][name]['spec']

    def _wake(self):
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()

    def _publish(self, kind, stored, *, deleted):
        event = {'object': stored, 'deleted': deleted}
        self._events.append((self._revision, kind, event))
        objects = copy.deepcopy(self._objects_by_kind)
        self._states.append((time.monotonic(), self._revision, objects))
        self._wake()

    async def _handle(self, request):
        self.on_request(request)
        status, content = 503, {}
        if not self._is_away:
            status, content = await self._serve(request)
        if self._is_away:
            status, content = 503, {}
        headers = {**JSON, 'Store-Era': str(self._era)}
        return status, headers, json.dumps(content).encode()

    async def _serve(self, request):
        kind, _, name = request.path.removeprefix(OBJECTS).partition('/')
        kind, name = unquote(kind), unquote(name)
        if request.method == 'GET' and not name and 'watch' in request.query:
            return await self._watch(kind, request.query)
        return self._answer(kind, name, request)

    async def _watch(self, kind, query):
        since = int(query['watch'])
        if since > self._revision:
            return 410, {}
        era = self._era
        end_s = time.monotonic() + int(query['wait-ms']) / 1000
        while not self._is_away and era == self._era:
            events = [
                event
                for revision, of_kind, event in self._events
                if of_kind == kind and revision > since
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {'events': events, 'as-of': self._revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except asyncio.TimeoutError:
                continue
        return 503, {}

    def _answer(self, kind, name, request):
        objects = self._objects_by_kind.get(kind, {})
        if request.method == 'GET' and not name:
            listed = [objects[known] for known in sorted(objects)]
            return 200, {
                'items': listed,
                'has-more': False,
                'as-of': self._revision,
            }
        if request.method == 'GET':
            return (200, objects[name]) if name in objects else (404, {})
        if request.method == 'POST':
            sent = request.json
            name = sent['metadata']['name']
            if name in objects:
                return 409, objects[name]
            return 201, self.put(kind, name, sent['spec'])
        if name not in objects:
            return 404, {}
        expected = request.query.get('revision')
        if request.method == 'PUT':
            expected = request.json['metadata'].get('revision')
        present = objects[name]['metadata']['revision']
        if expected is not None and int(expected) != present:
            return 409, objects[name]
        if request.method == 'DELETE':
            return 200, self.remove(kind, name)
        sent = request.json
        if objects[name]['spec'] == sent['spec']:
            return 200, objects[name]
        return 200, self.put(kind, name, sent['spec'])


class Cloud:
    """Accepts usage reports and orders of workers."""

    def __init__(self):
        self.server = Server(self._handle)
        self.calls = []

    async def _handle(self, request):
        self.calls.append((time.monotonic(), request.path, request.json))
        return 200, JSON, b'{}'
