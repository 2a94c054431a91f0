"""Stand-ins for engines and plain services, with faults."""

import json
from itertools import count

from twisted.internet.error import AlreadyCalled, AlreadyCancelled
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from soak.proxy import HOST
from soak.stutters import Answer, Stutter
from soak.target_links import TargetLinks

# Pause that a full target asks for.
BUSY_PAUSE_S = 0.7
WORK_S = 0.03
EVENT_S = 0.015
PREFILL_S = 0.02
SLOTS = 16
PART_CRASH_S = 0.05
PART_DOWN_S = 3.5
VERSIONS = ('v1', 'v2')
DRAIN_S = 3.0
_numbers = count(1)


def build_event(attempt_id: str, number: int) -> bytes:
    return b'id: %d\ndata: %s-%d\n\n' % (number, attempt_id.encode(), number)


def build_body(attempt_id: str) -> bytes:
    return f'answer to {attempt_id}'.encode()


class Target(Resource):
    """
    Target that starts as a new incarnation behind the same proxy each time.

    ``fault`` is empty, ``hang``, ``lost`` (requests run but get no answer),
    ``busy``, ``cut`` (answers are truncated), ``torn`` (streams have neither a
    length nor chunks, and are closed inside an event) or ``extra`` (a second
    answer follows each one).

    :param world: the deployment
    :param service: service that the target belongs to
    :param zone: zone of the target
    :param role: stage of an engine, empty for a plain service
    """

    isLeaf = True

    def __init__(self, world, service: str, zone: str, role: str = '') -> None:
        super().__init__()
        self.world = world
        self.service = service
        self.zone = zone
        self.role = self.first_role = role
        self.fault = ''
        self.name = ''
        self.version = ''
        self.running_count = 0
        self.attempt_by_handle: dict[str, str] = {}
        self.accepted_order_count = 0
        self.is_leaving = False
        self._requests: set = set()
        self._answer_by_request: dict = {}
        self.stutter = Stutter(world.reactor, world.stutter_rng)
        self._port = None
        self.links = TargetLinks(
            world.reactor, [instance.name for instance in world.instances]
        )

    def start(self) -> None:
        """Start a new incarnation and register it in the store."""
        if self._port is not None:
            return
        self.links.listen()
        self.name = f't{next(_numbers)}'
        self.version = self.world.rng.choice(VERSIONS)
        self.running_count, self.accepted_order_count = 0, 0
        self.role = self.first_role
        self.is_leaving = False
        self.attempt_by_handle.clear()
        self._port = self.world.reactor.listenTCP(0, Site(self), interface=HOST)
        self.links.set_target_port(self._port.getHost().port)
        self.write_entry('ready')

    def write_entry(self, state: str) -> None:
        """Write the store entry by which instances discover the target."""
        entry = {
            'service': self.service,
            # Each instance is shown an address of its own.
            'address': self.links,
            'stage': self.role,
            'state': state,
            'zone': self.zone,
            'version': self.version,
            'slots': SLOTS,
            'born': self.world.wall_ms(),
        }
        self.world.store.put('servers', self.name, entry)

    def crash(self, down_s: float, *, is_clean: bool = False) -> None:
        """
        Close all connections; remove the entry and start anew later.

        :param down_s: time until the next incarnation, in s
        :param is_clean: whether connections are closed in due form and others
            refused, instead of aborted
        """
        old_name = self.name
        self.world.promises.crashed_targets.add(old_name)
        # A close in due form would make a part of an unframed answer whole.
        self._close(is_clean=is_clean and not self.stutter.is_closing)
        later = self.world.reactor.callLater
        later(3.6, self.world.store.remove, 'servers', old_name)
        later(down_s, self.start)

    def drain(self) -> None:
        """Drain, stop, and start as a new incarnation."""
        old_name = self.name
        self.is_leaving = True
        self.write_entry('draining')
        self.world.promises.leaving_ms_by_target[old_name] = self.world.now_ms()
        later = self.world.reactor.callLater
        later(DRAIN_S, self.world.store.remove, 'servers', old_name)
        later(DRAIN_S + 1, self._restart, old_name)

    def stop(self) -> None:
        """Stop without a restart."""
        self._close()
        self.links.stop()

    def render(self, request):
        headers = {
            name.lower(): values[0]
            for name, values in request.requestHeaders.getAllRawHeaders()
        }
        self._requests.add(request)
        if self.is_leaving:
            request.setHeader(b'Server-Leaving', b'1')
        request.notifyFinish().addBoth(
            self._finish_request, request, request.channel
        )
        if self.fault == 'hang':
            return NOT_DONE_YET
        wait_s = self.stutter.receive_request(request.channel)
        if wait_s:
            self._continue_later(
                wait_s, request, self._answer_late, request, headers
            )
            return NOT_DONE_YET
        return self._answer(request, headers)

    def _finish_request(self, ended, request, channel) -> None:
        self._requests.discard(request)
        answer = self._answer_by_request.pop(request, None)
        if ended is None:
            self.stutter.finish_answer(channel, answer)

    def _answer_late(self, request, headers) -> None:
        answered = self._answer(request, headers)
        if answered is not NOT_DONE_YET:
            self._send_and_finish(request, answered)

    def _answer(self, request, headers):
        path = request.path.decode()
        if path == '/cicadahoist/report':
            return json.dumps({'seq': self.accepted_order_count}).encode()
        if path.startswith('/cicadahoist/kv-handle/'):
            self.attempt_by_handle.pop(path.rpartition('/')[2], None)
            return b''
        expected = headers.get(b'x-cicadahoist-expect-instance', b'').decode()
        if expected and expected != self.name:
            return self._reject(request, 421)
        if path == '/cicadahoist/order':
            return self._accept_order(request)
        return self._render_attempt(request, headers)

    def _render_attempt(self, request, headers):
        attempt_id = headers.get(b'x-cicadahoist-attempt-id', b'').decode()
        request.setHeader(b'X-Cicadahoist-Attempt-Id', attempt_id)
        self._answer_by_request[request] = Answer(attempt_id)
        part = self.world.promises.check_crashing_part(attempt_id)
        if self.fault == 'busy' or self.running_count >= 2 * SLOTS:
            request.setHeader(b'Retry-After', b'%.3f' % BUSY_PAUSE_S)
            return self._reject(request, 503)
        if headers.get(b'x-cicadahoist-serving-stage') == b'prefill':
            return self._run_prefill(request, attempt_id)
        return self._run(request, attempt_id, headers, part)

    def _run(self, request, attempt_id, headers, part):
        source = headers.get(b'x-cicadahoist-kv-source', b'').decode()
        if source:
            owner = self.world.pop_handle_owner(source)
            if owner is None:
                return self._reject(request, 503)
            if owner != attempt_id:
                self.world.promises.report_breach(
                    'MIXED', f'{attempt_id} goes on from the cache of {owner}'
                )
        self.running_count += 1
        request.notifyFinish().addBoth(self._count_run_end)
        self.world.promises.check_run(attempt_id, self.name, headers)
        if part:
            self.world.reactor.callLater(
                PART_CRASH_S, self._crash_on_part, self.name, part
            )
            return NOT_DONE_YET
        if self.fault == 'lost':
            self._continue_later(
                WORK_S, request, request.transport.abortConnection
            )
            return NOT_DONE_YET
        answer = self._sign_answer(request)
        if not self.role:
            self._continue_later(
                WORK_S, request, self._send_answer, request, answer
            )
            return NOT_DONE_YET
        answer.content_type = 'text/event-stream'
        request.setHeader(b'Content-Type', answer.content_type.encode())
        first = int(headers.get(b'last-event-id', b'0') or 0) + 1
        counts = headers[b'x-cicadahoist-token-count'].decode()
        last = int(counts.partition(',')[2])
        if self.fault == 'torn':
            self._continue_later(
                EVENT_S, request, self._tear_stream, request, answer, first
            )
            return NOT_DONE_YET
        self._continue_later(
            EVENT_S, request, self._send_stream, request, answer, first, last
        )
        return NOT_DONE_YET

    def _sign_answer(self, request) -> Answer:
        answer = self._answer_by_request[request]
        answer.seal = f'{self.name}.{next(_numbers)}'
        request.setHeader(b'X-Cicadahoist-Server-Seal', answer.seal.encode())
        self.world.promises.record_answer(answer)
        return answer

    def _send_answer(self, request, answer) -> None:
        text = build_body(answer.attempt_id)
        answer.body = body = text * self.stutter.choose_size()
        answer.status = self.stutter.choose_status()
        request.setResponseCode(answer.status)
        request.setHeader(b'Content-Length', b'%d' % len(body))
        if self.fault == 'cut':
            answer.is_whole = False
            request.write(body[:5])
            request.transport.abortConnection()
            return
        if self.stutter.send_unframed(request.channel, answer):
            return
        request.write(body)
        if self.fault == 'extra':
            request.transport.write(
                b'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n'
                b'X-Cicadahoist-Attempt-Id: none\r\n\r\nold'
            )
        request.finish()

    def _record_event(self, attempt_id, number) -> None:
        versions_by_event = self.world.promises.versions_by_event
        versions = versions_by_event.setdefault((attempt_id, number), set())
        versions.add(self.version)

    def _send_stream(self, request, answer, first, last) -> None:
        numbers = range(first, last + 1)
        events = [build_event(answer.attempt_id, number) for number in numbers]
        answer.body = b''.join(events)
        if not events:
            # Its caller had all events, but could not tell the end.
            request.finish()
        elif not self.stutter.send_unframed(request.channel, answer):
            self._send_event(request, answer, first, last)
        else:
            for number in numbers:
                self._record_event(answer.attempt_id, number)

    def _send_event(self, request, answer, number, last) -> None:
        event = build_event(answer.attempt_id, number)
        self._record_event(answer.attempt_id, number)
        if self.fault == 'cut':
            answer.is_whole = False
            request.write(event[: len(event) // 2])
            request.transport.abortConnection()
            return
        request.write(event)
        if number == last:
            request.finish()
            return
        self._continue_later(
            EVENT_S,
            request,
            self._send_event,
            request,
            answer,
            number + 1,
            last,
        )

    def _tear_stream(self, request, answer, number) -> None:
        answer.is_whole = False
        self._record_event(answer.attempt_id, number)
        next_event = build_event(answer.attempt_id, number + 1)
        request.transport.write(answer.encode_head())
        request.transport.write(build_event(answer.attempt_id, number))
        request.transport.write(next_event[: len(next_event) // 2])
        request.transport.loseConnection()

    def _run_prefill(self, request, attempt_id):
        if self.role != 'prefill':
            return self._reject(request, 421)
        name = f'h{next(_numbers)}'
        self.attempt_by_handle[name] = attempt_id
        body = json.dumps({'kv-handle': name, 'tokens': 1, 'version': 1})
        self._answer_by_request[request].body = body.encode()
        self._continue_later(
            PREFILL_S, request, self._send_and_finish, request, body.encode()
        )
        return NOT_DONE_YET

    def _accept_order(self, request):
        order = json.load(request.content)
        self.world.promises.duties.check_order(
            order['holder'], order['fence'], self.name
        )
        if order['expected'] != self.accepted_order_count:
            request.setResponseCode(409)
            return b''
        self.accepted_order_count += 1
        self.role = order['stage']
        self.write_entry('ready')
        request.setResponseCode(202)
        return b''

    def _reject(self, request, status):
        answer = self._answer_by_request.get(request)
        if answer is not None:
            answer.status, answer.is_run = status, False
        request.setResponseCode(status)
        request.setHeader(b'X-Cicadahoist-Not-Executed', b'1')
        return b''

    def _send_and_finish(self, request, body) -> None:
        request.write(body)
        request.finish()

    def _continue_later(self, delay_s, request, action, *arguments) -> None:
        """Continue a request later, unless its connection is closed by then."""
        timer = self.world.reactor.callLater(
            delay_s, self._continue, request, action, arguments
        )
        request.notifyFinish().addErrback(lambda _: _cancel(timer))

    def _continue(self, request, action, arguments) -> None:
        if request in self._requests:
            action(*arguments)

    def _count_run_end(self, ended) -> None:
        self.running_count -= 1

    def _close(self, *, is_clean: bool = False) -> None:
        if self._port is not None:
            self._port.stopListening()
            self._port = None
        for request in list(self._requests):
            request.transport.abortConnection()
        if is_clean:
            self.links.refuse_connections()
        else:
            self.links.set_fault('reset')
            self.links.set_fault('')

    def _crash_on_part(self, old_name: str, part: str) -> None:
        if self.name == old_name and self._port is not None:
            self.world.promises.record_part_crash(part)
            self.crash(PART_DOWN_S, is_clean=True)

    def _restart(self, old_name: str) -> None:
        if self.name == old_name:
            self._close()
            self.start()


def _cancel(timer) -> None:
    try:
        timer.cancel()
    except (AlreadyCalled, AlreadyCancelled):
        return
