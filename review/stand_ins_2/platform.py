"""Stand-ins for the platform: the metadata store and the duty interface."""

import asyncio
import json
import time
from urllib.parse import unquote

from review.stand_ins_2.http import Server

OBJECTS = '/cicadahoist/objects/'
JSON = {'Content-Type': 'application/json'}


class Store:
    """Versioned objects with conditional writes and watches."""

    def __init__(self):
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

    def _publish(self, kind, stored, *, deleted):
        event = {'object': stored, 'deleted': deleted}
        self._events.append((self._revision, kind, event))
        changed = self._changed
        self._changed = asyncio.Event()
        changed.set()

    async def _handle(self, request):
        kind, _, name = request.path.removeprefix(OBJECTS).partition('/')
        kind, name = unquote(kind), unquote(name)
        if request.method == 'GET' and not name and 'watch' in request.query:
            content = await self._watch(kind, request.query)
            return 200, JSON, json.dumps(content).encode()
        status, content = self._answer(kind, name, request)
        return status, JSON, json.dumps(content).encode()

    async def _watch(self, kind, query):
        since = int(query['watch'])
        end_s = time.monotonic() + int(query['wait-ms']) / 1000
        while True:
            events = [
                event
                for revision, of_kind, event in self._events
                if of_kind == kind and revision > since
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return {'events': events, 'as-of': self._revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except asyncio.TimeoutError:
                continue

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
