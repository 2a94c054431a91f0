"""The platform's store and its interface for orders, with faults."""

import json

from klein import Klein
from twisted.internet.defer import Deferred

JSON = {'Content-Type': 'application/json'}
SLOW_S = 0.2


class StoreStandIn:
    """
    Objects with revisions and watches, over HTTP.

    ``fault`` is empty, ``down`` (503 to everything), ``lost`` (writes are
    carried out and not answered) or ``slow``.
    """

    app = Klein()

    def __init__(self, reactor) -> None:
        self.fault = ''
        self._reactor = reactor
        self._revision = 1
        self._kinds = {}
        self._log = []
        self._waiting = {}
        self._oldest = 0

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

    def remove(self, kind, name):
        stored = self._kinds.get(kind, {}).pop(name, None)
        if stored is not None:
            self._revision += 1
            self._publish(kind, {'deleted': True, 'object': stored})
        return stored

    def forget_history(self):
        """Drop all history; watches that go on from it get 410."""
        self._oldest = self._revision
        self._log.clear()
        self.close()

    def get_spec(self, kind, name):
        return self._kinds[kind][name]['spec']

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
            return self._send(
                request,
                {'items': found, 'has-more': False, 'as-of': self._revision},
            )
        if int(watch[0]) < self._oldest:
            return self._send(request, {}, 410)
        wait_s = int(request.args[b'wait-ms'][0]) / 1000
        seen = [
            event
            for revision, logged, event in self._log
            if revision > int(watch[0]) and logged == kind
        ]
        if seen:
            return self._send(
                request, {'events': seen, 'as-of': self._revision}
            )
        answer = Deferred()
        entry = (kind, request, answer)
        timer = self._reactor.callLater(wait_s, self._answer, entry, [])
        self._waiting[entry] = timer
        return answer

    @app.route('/cicadahoist/objects/<kind>', methods=['POST'])
    def create(self, request, kind):
        if self.fault == 'down':
            return self._send(request, {})
        sent = json.load(request.content)
        name = sent['metadata']['name']
        if name in self._kinds.get(kind, {}):
            return self._send(request, self._kinds[kind][name], 409)
        return self._send(request, self.put(kind, name, sent['spec']))

    @app.route('/cicadahoist/objects/<kind>/<name>', methods=['GET'])
    def get(self, request, kind, name):
        stored = self._kinds.get(kind, {}).get(name)
        if stored is None:
            return self._send(request, {}, 404)
        return self._send(request, stored)

    @app.route('/cicadahoist/objects/<kind>/<name>', methods=['PUT'])
    def replace(self, request, kind, name):
        if self.fault == 'down':
            return self._send(request, {})
        sent = json.load(request.content)
        stored = self._kinds.get(kind, {}).get(name)
        if stored is None:
            return self._send(request, {}, 404)
        expected = sent['metadata'].get('revision')
        if expected not in {None, stored['metadata']['revision']}:
            return self._send(request, stored, 409)
        return self._send(request, self.put(kind, name, sent['spec']))

    @app.route('/cicadahoist/objects/<kind>/<name>', methods=['DELETE'])
    def delete(self, request, kind, name):
        if self.fault == 'down':
            return self._send(request, {})
        stored = self.remove(kind, name)
        if stored is None:
            return self._send(request, {}, 404)
        return self._send(request, stored)

    def _send(self, request, content, status=200):
        """Answer now, later, otherwise or not at all, as the fault asks."""
        if self.fault == 'down':
            return _respond(request, {}, 503)
        if self.fault == 'lost' and request.method != b'GET':
            request.transport.abortConnection()
            return b''
        if self.fault != 'slow':
            return _respond(request, content, status)
        answer = Deferred()
        self._reactor.callLater(
            SLOW_S, answer.callback, _respond(request, content, status)
        )
        return answer

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
            self._send(request, {'events': events, 'as-of': self._revision})
        )


class CloudStandIn:
    """Takes orders and usage reports."""

    app = Klein()

    def __init__(self, on_call=lambda *call: None) -> None:
        self.calls = []
        self.status = 200
        self.on_call = on_call

    @app.route('/usage', methods=['POST'])
    def usage(self, request):
        self._note(request)
        return b''

    @app.route('/scale', methods=['POST'])
    def scale(self, request):
        self._note(request)
        return b''

    def _note(self, request):
        fence = int(request.getHeader(b'X-Cicadahoist-Fence-Token'))
        holder = request.getHeader(b'X-Cicadahoist-Duty-Holder').decode()
        content = json.load(request.content)
        self.calls.append((request.path.decode(), fence, content))
        request.setResponseCode(self.status)
        self.on_call(request.path.decode(), holder, fence, content)


def _respond(request, content, status=200):
    request.setResponseCode(status)
    for name, text in JSON.items():
        request.setHeader(name, text)
    return json.dumps(content)
