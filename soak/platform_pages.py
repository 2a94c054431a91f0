"""Stand-ins for the store and the cloud interface of the platform."""

import json

from klein import Klein
from twisted.internet.defer import Deferred

JSON = {'Content-Type': 'application/json'}
SLOW_S = 0.2


class StoreStandIn:
    """
    Store of versioned objects with watches, over HTTP.

    ``fault`` is empty, ``down`` (every call gets 503), ``lost`` (writes take
    effect but get no answer) or ``slow``. Instances are told apart by the port
    that they call, and see their own addresses of the targets.
    """

    app = Klein()

    def __init__(self, reactor) -> None:
        self.fault = ''
        self.instance_by_port: dict[int, str] = {}
        self._reactor = reactor
        self._revision = 1
        self._objects_by_kind = {}
        self._events = []
        self._timer_by_watch = {}
        self._oldest_revision = 0

    def put(self, kind, name, spec):
        self._revision += 1
        stored = {
            'metadata': {'name': name, 'revision': self._revision},
            'spec': spec,
            'status': None,
        }
        self._objects_by_kind.setdefault(kind, {})[name] = stored
        self._publish(kind, {'deleted': False, 'object': stored})
        return stored

    def remove(self, kind, name):
        stored = self._objects_by_kind.get(kind, {}).pop(name, None)
        if stored is not None:
            self._revision += 1
            self._publish(kind, {'deleted': True, 'object': stored})
        return stored

    def forget_history(self):
        """Drop the history; watches that resume from it get 410."""
        self._oldest_revision = self._revision
        self._events.clear()
        self.close()

    def get_spec(self, kind, name):
        return self._objects_by_kind[kind][name]['spec']

    def close(self):
        """Answer all open watches without events."""
        for watch_call in list(self._timer_by_watch):
            self._answer_watch(watch_call, [])

    def names(self, kind):
        return sorted(self._objects_by_kind.get(kind, {}))

    @app.route('/cicadahoist/objects/<kind>', methods=['GET'])
    def list_or_watch(self, request, kind):
        watch = request.args.get(b'watch')
        if watch is None:
            stored_objects = [
                self._objects_by_kind.get(kind, {})[name]
                for name in self.names(kind)
            ]
            return self._send(
                request,
                {
                    'items': stored_objects,
                    'has-more': False,
                    'as-of': self._revision,
                },
            )
        if int(watch[0]) < self._oldest_revision:
            return self._send(request, {}, 410)
        wait_s = int(request.args[b'wait-ms'][0]) / 1000
        events_after = [
            event
            for revision, logged, event in self._events
            if revision > int(watch[0]) and logged == kind
        ]
        if events_after:
            return self._send(
                request, {'events': events_after, 'as-of': self._revision}
            )
        answer = Deferred()
        watch_call = (kind, request, answer)
        timer = self._reactor.callLater(
            wait_s, self._answer_watch, watch_call, []
        )
        self._timer_by_watch[watch_call] = timer
        return answer

    @app.route('/cicadahoist/objects/<kind>', methods=['POST'])
    def create(self, request, kind):
        if self.fault == 'down':
            return self._send(request, {})
        sent = json.load(request.content)
        name = sent['metadata']['name']
        if name in self._objects_by_kind.get(kind, {}):
            return self._send(request, self._objects_by_kind[kind][name], 409)
        return self._send(request, self.put(kind, name, sent['spec']))

    @app.route('/cicadahoist/objects/<kind>/<name>', methods=['GET'])
    def get(self, request, kind, name):
        stored = self._objects_by_kind.get(kind, {}).get(name)
        if stored is None:
            return self._send(request, {}, 404)
        return self._send(request, stored)

    @app.route('/cicadahoist/objects/<kind>/<name>', methods=['PUT'])
    def replace(self, request, kind, name):
        if self.fault == 'down':
            return self._send(request, {})
        sent = json.load(request.content)
        stored = self._objects_by_kind.get(kind, {}).get(name)
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
        """Answer immediately, late, with 503 or not at all, by the fault."""
        if self.fault == 'down':
            return _respond(request, {}, 503)
        if self.fault == 'lost' and request.method != b'GET':
            request.transport.abortConnection()
            return b''
        # Other ports than those of instances serve addresses as they are.
        instance = self.instance_by_port.get(request.getHost().port, '')
        body = _respond(
            request, content, status, lambda links: links.get_address(instance)
        )
        if self.fault != 'slow':
            return body
        answer = Deferred()
        self._reactor.callLater(SLOW_S, answer.callback, body)
        return answer

    def _publish(self, kind, event):
        self._events.append((self._revision, kind, event))
        for watch_call in list(self._timer_by_watch):
            if watch_call[0] == kind:
                self._answer_watch(watch_call, [event])

    def _answer_watch(self, watch_call, events):
        timer = self._timer_by_watch.pop(watch_call, None)
        if timer is None:
            return
        if timer.active():
            timer.cancel()
        _, request, answer = watch_call
        answer.callback(
            self._send(request, {'events': events, 'as-of': self._revision})
        )


class CloudStandIn:
    """Cloud interface that records scale orders and usage reports."""

    app = Klein()

    def __init__(self, on_call=lambda *call: None) -> None:
        self.calls = []
        self.status = 200
        self.on_call = on_call

    @app.route('/usage', methods=['POST'])
    def usage(self, request):
        self._record_call(request)
        return b''

    @app.route('/scale', methods=['POST'])
    def scale(self, request):
        self._record_call(request)
        return b''

    def _record_call(self, request):
        fence = int(request.getHeader(b'X-Cicadahoist-Fence-Token'))
        holder = request.getHeader(b'X-Cicadahoist-Duty-Holder').decode()
        content = json.load(request.content)
        self.calls.append((request.path.decode(), fence, content))
        request.setResponseCode(self.status)
        self.on_call(request.path.decode(), holder, fence, content)


def _respond(request, content, status=200, encode_links=None):
    request.setResponseCode(status)
    for name, text in JSON.items():
        request.setHeader(name, text)
    return json.dumps(content, default=encode_links)
