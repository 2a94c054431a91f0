"""Callers that check every answer they receive."""

import re
from itertools import count

import h11
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol

from soak.promises import Attempt
from soak.proxy import HOST
from soak.targets import build_event

TIMEOUT_MS_BY_KIND = {
    'submit': 1500,
    'lookup': 1500,
    'ask': 6000,
    'check': 2000,
}
EVENT_COUNT_BY_KIND = {'ask': 20, 'check': 2}
MAX_PAUSE_S = 0.05
CRASHING_SHARE = 0.15
# An answer that has used this share of its deadline may be given up.
DEADLINE_SHARE = 0.7
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_attempt_numbers = count(1)


class ClientConnection(Protocol):
    """Client connection that sends one request at a time."""

    def __init__(self) -> None:
        self.http = h11.Connection(h11.CLIENT)
        self.is_open = True
        self._head = None
        self._body = b''
        self._result: Deferred | None = None

    def send_request(self, method, path, headers, body) -> Deferred:
        """
        Send a request.

        :return: fires with status, headers, body and whether the answer is
            complete; the status is 0 without an answer
        """
        self._result = Deferred()
        self._head, self._body = None, b''
        request = h11.Request(method=method, target=path, headers=headers)
        result = self._result
        self._write_request(
            self.http.send(request)
            + self.http.send(h11.Data(data=body))
            + self.http.send(h11.EndOfMessage())
        )
        return result

    def dataReceived(self, received: bytes) -> None:
        try:
            self.http.receive_data(received)
            self._read_events()
        except h11.RemoteProtocolError:
            self._fire_result(False)
            self.transport.abortConnection()

    def connectionLost(self, reason=None) -> None:
        self.is_open = False
        self._fire_result(False)

    def abort(self) -> None:
        self.is_open = False
        self._fire_result(False)
        self.transport.abortConnection()

    def _write_request(self, encoded: bytes) -> None:
        self.transport.write(encoded)

    def _read_events(self) -> None:
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._head = event
            elif isinstance(event, h11.Data):
                self._body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._finish_response()
                return
            else:
                return

    def _finish_response(self) -> None:
        is_reusable = self.http.our_state is h11.DONE
        if is_reusable and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
        else:
            self.is_open = False
            self.transport.loseConnection()
        self._fire_result(True)

    def _fire_result(self, is_whole: bool) -> None:
        result, self._result = self._result, None
        if result is None:
            return
        if self._head is None:
            result.callback((0, {}, b'', False))
            return
        headers = {bytes(n): bytes(v) for n, v in self._head.headers}
        result.callback((self._head.status_code, headers, self._body, is_whole))


class Caller:
    """Sends requests one after the other until it is stopped."""

    def __init__(self, world, rng) -> None:
        self.world = world
        self.rng = rng
        self.is_stopped = False
        self._connection: ClientConnection | None = None
        self._instance = None

    async def run(self) -> None:
        while not self.is_stopped:
            kind = self.rng.choice(('submit', 'lookup', 'ask', 'check'))
            await self.send_request(kind)
            await self.world.clock.sleep(1000 * MAX_PAUSE_S * self.rng.random())

    async def send_request(
        self, kind: str, broken_off: Attempt | None = None
    ) -> str:
        """
        Send one request, check its answer and return the outcome.

        :param broken_off: attempt whose stream this request takes up
        """
        world = self.world
        key, workspace = self.rng.choice(sorted(world.keys.items()))
        connection = await self._connect()
        if connection is None:
            self._record_try()
            return 'unreached'
        attempt = Attempt(
            attempt_id=f'a{next(_attempt_numbers)}',
            kind=kind,
            key=key,
            workspace=workspace,
            instance=self._instance.name,
            sent_ms=world.now_ms(),
            origin=broken_off,
        )
        self._choose_part(attempt)
        world.promises.record_attempt(attempt)
        if broken_off is None:
            self._record_try(attempt.attempt_id)
        body = self._build_body(attempt)
        answer = connection.send_request(
            b'POST',
            f'/{kind}/x'.encode(),
            self._build_headers(attempt, body),
            body,
        )
        timer = world.reactor.callLater(
            TIMEOUT_MS_BY_KIND[kind] / 1000, connection.abort
        )
        status, headers, body, is_whole = await answer
        if timer.active():
            timer.cancel()
        outcome = self._judge(attempt, status, headers, body, is_whole)
        if outcome in {'cut', 'unanswered'}:
            self._check_cut(attempt)
        world.promises.count_outcome(attempt, outcome)
        if outcome == 'served':
            world.cut.record_served(attempt)
        may_take_up = (
            kind == 'ask' and broken_off is None and not self.is_stopped
        )
        if may_take_up and outcome == 'cut' and attempt.events:
            taken_up = await self.send_request(kind, attempt)
            world.promises.count_outcome(attempt, f'taken up {taken_up}')
        return outcome

    def drop_connection(self) -> None:
        """Let the next request go to an instance on a new connection."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    def _record_try(self, attempt_id: str = '') -> None:
        """Record a first try at an instance that is not leaving."""
        if not self._instance.is_ending(self.world.now_ms()):
            self.world.cut.record_try(self._instance.name, attempt_id)

    def _choose_part(self, attempt: Attempt) -> None:
        """Choose whether a prompt has the part that crashes engines."""
        part = self.world.crashing_part
        if attempt.kind not in EVENT_COUNT_BY_KIND or not part:
            return
        if attempt.origin is not None:
            attempt.crashing_part = attempt.origin.crashing_part
        elif self.rng.random() < CRASHING_SHARE:
            attempt.crashing_part = part
        if not attempt.crashing_part:
            self.world.promises.record_sound_prompt(attempt, part)

    async def _connect(self) -> ClientConnection | None:
        if self._connection is not None and self._connection.is_open:
            if self.rng.random() < 0.8:
                return self._connection
        self.drop_connection()
        self._instance = self.rng.choice(self.world.instances)
        factory = Factory.forProtocol(ClientConnection)
        factory.noisy = False
        endpoint = TCP4ClientEndpoint(
            self.world.reactor, HOST, self._instance.callers.port, timeout=1
        )
        try:
            self._connection = await endpoint.connect(factory)
        except Exception:  # noqa: BLE001
            return None
        return self._connection

    def _build_body(self, attempt: Attempt) -> bytes:
        """Return a body that differs between prompts, as their texts do."""
        if attempt.kind in EVENT_COUNT_BY_KIND:
            return (attempt.origin or attempt).attempt_id.encode()
        return b'body'

    def _build_headers(self, attempt: Attempt, body: bytes):
        headers = [
            (b'Host', b'h.example'),
            (b'Content-Length', b'%d' % len(body)),
            (b'X-Cicadahoist-Attempt-Id', attempt.attempt_id.encode()),
            (
                b'X-Cicadahoist-Deadline-Ms',
                b'%d' % TIMEOUT_MS_BY_KIND[attempt.kind],
            ),
            (b'Authorization', b'Token ' + attempt.key.encode()),
            # A forged workspace, which the program has to replace.
            (b'X-Cicadahoist-Tenant', b'forged'),
        ]
        if attempt.kind in EVENT_COUNT_BY_KIND:
            tokens = 9000 if attempt.kind == 'check' else 200
            counts = f'{tokens},{EVENT_COUNT_BY_KIND[attempt.kind]}'
            shared = ['aa:100']
            if attempt.crashing_part:
                shared.append(f'{attempt.crashing_part}:100')
                self.rng.shuffle(shared)
            own_tokens = tokens - 100 * len(shared)
            own = f'{attempt.attempt_id.encode().hex()}:{own_tokens}'
            parts = ','.join((*shared, own))
            headers += [
                (b'X-Cicadahoist-Model', b'm'),
                (b'X-Cicadahoist-Token-Count', counts.encode()),
                (b'X-Cicadahoist-Prompt-Prefix', parts.encode()),
            ]
        if attempt.origin is not None:
            headers += [
                (b'Resumes', attempt.origin.attempt_id.encode()),
                (b'Last-Event-Id', b'%d' % len(attempt.origin.events)),
            ]
        return headers

    def _judge(self, attempt, status, headers, body, is_whole) -> str:
        if not status:
            return self._judge_missing_answer(attempt)
        is_signed = b'x-cicadahoist-server-seal' in headers
        is_stream = attempt.kind in EVENT_COUNT_BY_KIND and status == 200
        if is_signed or status == 200:
            self.world.promises.check_signed(
                attempt,
                status,
                headers.get(b'x-cicadahoist-server-seal', b'').decode(),
                None if is_stream else body,
                is_whole=is_whole,
            )
        echoed = headers.get(b'x-cicadahoist-attempt-id', b'').decode()
        if echoed and echoed != attempt.attempt_id:
            self.world.promises.report_breach(
                'MIXED', f'{attempt.attempt_id} gets {echoed}'
            )
        if status in NOT_RUN_STATUSES:
            self.world.promises.check_refusal(attempt, status)
            return 'refused'
        if status != 200:
            return self._judge_failure(attempt, status, is_signed=is_signed)
        if is_stream:
            return self._judge_stream(attempt, body, is_whole)
        return 'served' if is_whole else 'cut'

    def _judge_failure(self, attempt, status, *, is_signed) -> str:
        """Check an error status; a valid request must not be denied."""
        if is_signed or status >= 500:
            return 'failed'
        is_known = attempt.key in self.world.list_settled_keys()
        if status != 401 or is_known:
            self.world.promises.report_breach(
                'DENIED', f'{attempt.attempt_id} gets {status}'
            )
        return 'denied'

    def _judge_stream(self, attempt, body, is_whole) -> str:
        numbers = [int(found) for found in re.findall(rb'id: (\d+)\n', body)]
        received = attempt.origin.events if attempt.origin else []
        first = len(received) + 1
        attempt.events = [(attempt.attempt_id, number) for number in numbers]
        self.world.promises.check_versions(attempt)
        if numbers != list(range(first, len(numbers) + first)):
            self.world.promises.report_breach(
                'ORDER', f'{attempt.attempt_id} gets events {numbers}'
            )
        whole = b''.join(
            build_event(attempt.attempt_id, number)
            for number in range(first, EVENT_COUNT_BY_KIND[attempt.kind] + 1)
        )
        if not whole.startswith(body):
            self.world.promises.report_breach(
                'MIXED', f'{attempt.attempt_id}: {body!r}'
            )
        if is_whole and body != whole:
            self.world.promises.report_breach(
                'ORDER', f'{attempt.attempt_id} ends after {numbers}'
            )
        return 'served' if is_whole else 'cut'

    def _check_cut(self, attempt) -> None:
        """Check an answer that broke off, unless its instance ends."""
        waited_ms = self.world.now_ms() - attempt.sent_ms
        if waited_ms > DEADLINE_SHARE * TIMEOUT_MS_BY_KIND[attempt.kind]:
            return
        if not self.is_stopped and not self._is_instance_ending(attempt):
            self.world.promises.check_cut(attempt)

    def _is_instance_ending(self, attempt) -> bool:
        return self._instance.is_ending(attempt.sent_ms)

    def _judge_missing_answer(self, attempt) -> str:
        """Check a connection that closed or timed out without an answer."""
        waited_ms = self.world.now_ms() - attempt.sent_ms
        if waited_ms >= TIMEOUT_MS_BY_KIND[attempt.kind]:
            return 'timed out'
        if self._is_instance_ending(attempt):
            self.world.promises.check_lost(attempt, 'may have crossed')
        return 'unanswered'
