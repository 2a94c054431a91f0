"""Stand-ins for the store and the cloud interface of the platform."""

import json
import random

from klein import Klein
from twisted.internet.defer import Deferred

JSON = {'Content-Type': 'application/json'}
ERA = 'Store-Era'
SLOW_S = 0.2
# Times after which writes of `StoreStandIn.late_writers` are carried out.
LATE_S = (1, 6)
# A late write whose condition holds again after a copy is carried out so soon,
# so that the record goes back while its new holder acts.
MEET_S = 0.3
# Oldest copy that the store comes back from.
MAX_AGE_S = 8
# Kinds that the operator and the targets write.
OUTSIDE_KINDS = ('config', 'servers')


class StoreStandIn:
    """
    Store of versioned objects with watches, over HTTP.

    ``fault`` is empty, ``down`` (every call gets 503), ``lost`` (writes take
    effect but get no answer) or ``slow``. Instances are told apart by the port
    that they call, and see their own addresses of the targets. Writes of
    ``late_writers`` get no answer, and are carried out later if their
    conditions hold then. Revisions of an object meet those that its late writes
    of earlier eras name: other writes can have used the ones between.

    :param reactor: reactor of the soak
    :param era: number of copies that it has come back from, 0 for a store that
        does not tell
    """

    app = Klein()

    def __init__(self, reactor, era: int = 0) -> None:
        self.fault = ''
        self.era = era
        self.is_away = False
        self.late_writers: set[str] = set()
        self.late_rng = random.Random(0)
        self.late_count = 0
        self.met_count = 0
        # Era, kind, name, revision and timer of conditional writes.
        self._late_writes: list[tuple] = []
        self.instance_by_port: dict[int, str] = {}
        self._reactor = reactor
        self._revision = 1
        self._objects_by_kind = {}
        self._events = []
        self._timer_by_watch = {}
        self._oldest_revision = 0
        # Time, revision and objects of past states, oldest first.
        self._states = []

    def put(self, kind, name, spec):
        self._revision = self._meet_late_write(kind, name)
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

    def go_away(self):
        """Answer nothing but 503 until `come_back`."""
        self.is_away = True
        self.close()

    def come_back(self, age_s):
        """Come back from a copy, with what others than instances wrote."""
        present = self._objects_by_kind
        copied_s = self._reactor.seconds() - age_s
        while len(self._states) > 1 and self._states[-1][0] > copied_s:
            self._states.pop()
        _, self._revision, copy = self._states[-1]
        self._objects_by_kind = {
            kind: dict(objects) for kind, objects in copy.items()
        }
        self._events = [
            event for event in self._events if event[0] <= self._revision
        ]
        self._oldest_revision = min(self._oldest_revision, self._revision)
        self.era += 1
        self.is_away = False
        for kind in OUTSIDE_KINDS:
            self._write_again(kind, present.get(kind, {}), copy.get(kind, {}))

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
        if self.is_away:
            return self._send(request, {})
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
        sent = json.load(request.content)
        return self._write(request, self._create, kind, sent)

    @app.route('/cicadahoist/objects/<kind>/<name>', methods=['GET'])
    def get(self, request, kind, name):
        stored = self._objects_by_kind.get(kind, {}).get(name)
        if stored is None:
            return self._send(request, {}, 404)
        return self._send(request, stored)

    @app.route('/cicadahoist/objects/<kind>/<name>', methods=['PUT'])
    def replace(self, request, kind, name):
        sent = json.load(request.content)
        return self._write(request, self._replace, kind, name, sent)

    @app.route('/cicadahoist/objects/<kind>/<name>', methods=['DELETE'])
    def delete(self, request, kind, name):
        expected = request.args.get(b'revision')
        revision = int(expected[0]) if expected else None
        return self._write(request, self._delete, kind, name, revision)

    def _write(self, request, write, *arguments):
        """Carry out a write now or late, unless the store is down."""
        if self._is_down:
            return self._send(request, {})
        if self._get_instance(request) in self.late_writers:
            self.late_count += 1
            delay_s = self.late_rng.uniform(*LATE_S)
            timer = self._reactor.callLater(delay_s, write, *arguments)
            if write == self._replace:
                kind, name, sent = arguments
                revision = sent['metadata'].get('revision')
                self._late_writes.append(
                    (self.era, kind, name, revision, timer)
                )
            request.transport.abortConnection()
            return b''
        content, status = write(*arguments)
        return self._send(request, content, status)

    def _meet_late_write(self, kind, name) -> int:
        """Return the next revision; a late write that names it is done soon."""
        self._late_writes = [
            late for late in self._late_writes if late[-1].active()
        ]
        timer_by_revision = {
            revision: timer
            for era, *key, revision, timer in self._late_writes
            if key == [kind, name]
            and era < self.era
            and (revision or 0) > self._revision
        }
        met = min(timer_by_revision, default=None)
        if met is None:
            return self._revision + 1
        timer = timer_by_revision[met]
        if timer.getTime() > self._reactor.seconds() + MEET_S:
            timer.reset(MEET_S)
        self.met_count += 1
        return met

    def _write_again(self, kind, present, copied):
        for name, stored in present.items():
            if copied.get(name) != stored:
                self.put(kind, name, stored['spec'])
        for name in copied.keys() - present.keys():
            self.remove(kind, name)

    def _create(self, kind, sent):
        name = sent['metadata']['name']
        if name in self._objects_by_kind.get(kind, {}):
            return self._objects_by_kind[kind][name], 409
        return self.put(kind, name, sent['spec']), 200

    def _replace(self, kind, name, sent):
        stored = self._objects_by_kind.get(kind, {}).get(name)
        if stored is None:
            return {}, 404
        if not _is_expected(stored, sent['metadata'].get('revision')):
            return stored, 409
        return self.put(kind, name, sent['spec']), 200

    def _delete(self, kind, name, revision):
        stored = self._objects_by_kind.get(kind, {}).get(name)
        if stored is None:
            return {}, 404
        if not _is_expected(stored, revision):
            return stored, 409
        return self.remove(kind, name), 200

    @property
    def _is_down(self):
        return self.is_away or self.fault == 'down'

    def _get_instance(self, request):
        # Other ports than those of instances serve addresses as they are.
        return self.instance_by_port.get(request.getHost().port, '')

    def _send(self, request, content, status=200):
        """Answer immediately, late, with 503 or not at all, by the fault."""
        if self.era:
            request.setHeader(ERA, str(self.era))
        if self._is_down:
            return _respond(request, {}, 503)
        if self.fault == 'lost' and request.method != b'GET':
            request.transport.abortConnection()
            return b''
        instance = self._get_instance(request)
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
        oldest_s = self._reactor.seconds() - MAX_AGE_S
        while len(self._states) > 1 and self._states[1][0] <= oldest_s:
            self._states.pop(0)
        objects_by_kind = {
            one: dict(objects) for one, objects in self._objects_by_kind.items()
        }
        self._states.append(
            (self._reactor.seconds(), self._revision, objects_by_kind)
        )
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


def _is_expected(stored, revision):
    return revision in {None, stored['metadata']['revision']}


def _respond(request, content, status=200, encode_links=None):
    request.setResponseCode(status)
    for name, text in JSON.items():
        request.setHeader(name, text)
    return json.dumps(content, default=encode_links)
