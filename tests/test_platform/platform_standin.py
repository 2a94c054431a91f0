"""The platform's published calls, as far as tests of the program need them."""

import json
from itertools import count

from klein import Klein
from twisted.internet.defer import Deferred

JSON = {'Content-Type': 'application/json'}


class StorePages:
    """Objects with revisions and watches, over HTTP."""

    app = Klein()

    def __init__(self, reactor) -> None:
        self._reactor = reactor
        self._revision = 1
        self._kinds = {}
        self._log = []
        self._waiting = {}

    def put(self, kind, name, spec):
        self._revision += 1
        stored = {
            'metadata': {'name': name, 'revision': self._revision},
            'spec': spec,
            'status': None,
        }
        self._kinds.setdefault(kind, {})[name] = stored
        self._publish(kind, {'deleted': False, 'object': stored})
        return stored

    def close(self):
        """Answer all waiting watches."""
        for entry in list(self._waiting):
            self._answer(entry, [])

    def names(self, kind):
        return sorted(self._kinds.get(kind, {}))

    @app.route('/cicadahoist/objects/<kind>', methods=['GET'])
    def page(self, request, kind):
        watch = request.args.get(b'watch')
        if watch is None:
            found = [
                self._kinds.get(kind, {})[name] for name in self.names(kind)
            ]
            return _send(
                request,
                {'items': found, 'has-more': False, 'as-of': self._revision},
            )
        wait_s = int(request.args[b'wait-ms'][0]) / 1000
        seen = [
            event
            for revision, logged, event in self._log
            if revision > int(watch[0]) and logged == kind
        ]
        if seen:
            return _send(request, {'events': seen, 'as-of': self._revision})
        answer = Deferred()
        entry = (kind, request, answer)
        timer = self._reactor.callLater(wait_s, self._answer, entry, [])
        self._waiting[entry] = timer
        return answer

    @app.route('/cicadahoist/objects/<kind>', methods=['POST'])
    def create(self, request, kind):
        sent = json.load(request.content)
        name = sent['metadata']['name']
        if name in self._kinds.get(kind, {}):
            return _send(request, self._kinds[kind][name], 409)
        return _send(request, self.put(kind, name, sent['spec']))

    @app.route('/cicadahoist/objects/<kind>/<name>', methods=['GET'])
    def get(self, request, kind, name):
        stored = self._kinds.get(kind, {}).get(name)
        if stored is None:
            return _send(request, {}, 404)
        return _send(request, stored)

    @app.route('/cicadahoist/objects/<kind>/<name>', methods=['PUT'])
    def replace(self, request, kind, name):
        sent = json.load(request.content)
        stored = self._kinds.get(kind, {}).get(name)
        if stored is None:
            return _send(request, {}, 404)
        expected = sent['metadata'].get('revision')
        if expected not in {None, stored['metadata']['revision']}:
            return _send(request, stored, 409)
        return _send(request, self.put(kind, name, sent['spec']))

    @app.route('/cicadahoist/objects/<kind>/<name>', methods=['DELETE'])
    def delete(self, request, kind, name):
        stored = self._kinds.get(kind, {}).pop(name, None)
        if stored is None:
            return _send(request, {}, 404)
        self._revision += 1
        self._publish(kind, {'deleted': True, 'object': stored})
        return _send(request, stored)

    def _publish(self, kind, event):
        self._log.append((self._revision, kind, event))
        for entry in list(self._waiting):
            if entry[0] == kind:
                self._answer(entry, [event])

    def _answer(self, entry, events):
        timer = self._waiting.pop(entry, None)
        if timer is None:
            return
        if timer.active():
            timer.cancel()
        _, request, answer = entry
        answer.callback(
            _send(request, {'events': events, 'as-of': self._revision})
        )


class TargetPages:
    """A plain service and an engine in one."""

    app = Klein()

    def __init__(self, reactor) -> None:
        self._reactor = reactor
        self._handles = count(1)
        self.seen = []
        self.delay_s = 0

    @app.route('/', branch=True)
    def run(self, request):
        headers = {
            name.lower(): values[0]
            for name, values in request.requestHeaders.getAllRawHeaders()
        }
        self.seen.append((request.path, headers))
        attempt = headers.get(b'x-cicadahoist-attempt-id', b'')
        request.setHeader(b'X-Cicadahoist-Attempt-Id', attempt)
        if headers.get(b'x-cicadahoist-serving-stage') == b'prefill':
            name = f'h{next(self._handles)}'
            return json.dumps({'kv-handle': name, 'tokens': 1, 'version': 1})
        request.setHeader(b'X-Cicadahoist-Server-Seal', b'seal')
        answer = Deferred()
        body = b'id: 1\ndata: t\n\n'
        self._reactor.callLater(self.delay_s, answer.callback, body)
        return answer


class CloudPages:
    """Takes orders and usage reports."""

    app = Klein()

    def __init__(self) -> None:
        self.calls = []

    @app.route('/usage', methods=['POST'])
    def usage(self, request):
        self._note(request)
        return b''

    @app.route('/scale', methods=['POST'])
    def scale(self, request):
        self._note(request)
        return b''

    def _note(self, request):
        fence = request.getHeader(b'X-Cicadahoist-Fence-Token')
        self.calls.append(
            (request.path.decode(), int(fence), json.load(request.content))
        )


def _send(request, content, status=200):
    request.setResponseCode(status)
    for name, text in JSON.items():
        request.setHeader(name, text)
    return json.dumps(content)
