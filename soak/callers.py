"""Callers that check each answer that they get."""

import re
from itertools import count

import h11
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, Protocol

from soak.promises import Asked
from soak.proxy import HOST
from soak.targets import body_of, event_of

PATIENCE_MS = {'submit': 1500, 'lookup': 1500, 'ask': 6000, 'check': 2000}
EVENTS = {'ask': 20, 'check': 2}
PAUSE_S = 0.05
PROMISES = frozenset((408, 421, 429, 503))
_ids = count(1)


class Call(Protocol):
    """One connection, one request at a time."""

    def __init__(self) -> None:
        self.http = h11.Connection(h11.CLIENT)
        self.is_open = True
        self._head = None
        self._body = b''
        self._ended: Deferred | None = None

    def ask(self, method, path, headers, body) -> Deferred:
        """Send a request; the result is (status, headers, body, is whole)."""
        self._ended = Deferred()
        self._head, self._body = None, b''
        request = h11.Request(method=method, target=path, headers=headers)
        self.transport.write(
            self.http.send(request)
            + self.http.send(h11.Data(data=body))
            + self.http.send(h11.EndOfMessage())
        )
        return self._ended

    def dataReceived(self, received: bytes) -> None:
        try:
            self.http.receive_data(received)
            self._read()
        except h11.RemoteProtocolError:
            self._end(False)
            self.transport.abortConnection()

    def connectionLost(self, reason=None) -> None:
        self.is_open = False
        self._end(False)

    def leave(self) -> None:
        self.is_open = False
        self._end(False)
        self.transport.abortConnection()

    def _read(self) -> None:
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._head = event
            elif isinstance(event, h11.Data):
                self._body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._settle()
                return
            else:
                return

    def _settle(self) -> None:
        is_kept = self.http.our_state is h11.DONE
        if is_kept and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
        else:
            self.is_open = False
            self.transport.loseConnection()
        self._end(True)

    def _end(self, is_whole: bool) -> None:
        ended, self._ended = self._ended, None
        if ended is None:
            return
        if self._head is None:
            ended.callback((0, {}, b'', False))
            return
        headers = {bytes(n): bytes(v) for n, v in self._head.headers}
        ended.callback((self._head.status_code, headers, self._body, is_whole))


class Caller:
    """Sends one request after the other until it is stopped."""

    def __init__(self, world, draw) -> None:
        self.world = world
        self.draw = draw
        self.is_stopped = False
        self._call: Call | None = None
        self._instance = None

    async def run(self) -> None:
        while not self.is_stopped:
            kind = self.draw.choice(('submit', 'lookup', 'ask', 'check'))
            await self.ask(kind)
            await self.world.clock.sleep(1000 * PAUSE_S * self.draw.random())

    async def ask(self, kind: str) -> str:
        """Send one request and judge its answer; return how it ended."""
        world = self.world
        key, workspace = self.draw.choice(sorted(world.keys.items()))
        connection = await self._connect()
        if connection is None:
            return 'unreached'
        asked = Asked(
            attempt_id=f'a{next(_ids)}',
            kind=kind,
            key=key,
            workspace=workspace,
            instance=self._instance.name,
            sent_ms=world.now_ms(),
        )
        world.promises.ask(asked)
        answer = connection.ask(
            b'POST', f'/{kind}/x'.encode(), self._headers(asked), b'body'
        )
        timer = world.reactor.callLater(
            PATIENCE_MS[kind] / 1000, connection.leave
        )
        status, headers, body, is_whole = await answer
        if timer.active():
            timer.cancel()
        outcome = self._judge(asked, status, headers, body, is_whole)
        world.promises.ended(asked, outcome)
        return outcome

    async def _connect(self) -> Call | None:
        if self._call is not None and self._call.is_open:
            if self.draw.random() < 0.8:
                return self._call
            self._call.leave()
        self._call = None
        self._instance = self.draw.choice(self.world.instances)
        factory = Factory.forProtocol(Call)
        factory.noisy = False
        endpoint = TCP4ClientEndpoint(
            self.world.reactor, HOST, self._instance.callers.port, timeout=1
        )
        try:
            self._call = await endpoint.connect(factory)
        except Exception:  # noqa: BLE001
            return None
        return self._call

    def _headers(self, asked: Asked):
        headers = [
            (b'Host', b'h.example'),
            (b'Content-Length', b'4'),
            (b'X-Cicadahoist-Attempt-Id', asked.attempt_id.encode()),
            (b'X-Cicadahoist-Deadline-Ms', b'%d' % PATIENCE_MS[asked.kind]),
            (b'Authorization', b'Token ' + asked.key.encode()),
            # Only the system may set this one.
            (b'X-Cicadahoist-Tenant', b'forged'),
        ]
        if asked.kind in EVENTS:
            tokens = 9000 if asked.kind == 'check' else 200
            counts = f'{tokens},{EVENTS[asked.kind]}'
            parts = f'aa:100,{asked.attempt_id.encode().hex()}:{tokens - 100}'
            headers += [
                (b'X-Cicadahoist-Model', b'm'),
                (b'X-Cicadahoist-Token-Count', counts.encode()),
                (b'X-Cicadahoist-Prompt-Prefix', parts.encode()),
            ]
        return headers

    def _judge(self, asked, status, headers, body, is_whole) -> str:
        promises = self.world.promises
        if not status:
            return self._unanswered(asked)
        echoed = headers.get(b'x-cicadahoist-attempt-id', b'').decode()
        if echoed and echoed != asked.attempt_id:
            promises.breach('MIXED', f'{asked.attempt_id} gets {echoed}')
        if status in PROMISES:
            promises.refused(asked, status)
            return 'refused'
        if status != 200:
            return self._denied(asked, status)
        if b'x-cicadahoist-server-seal' not in headers:
            promises.breach('MIXED', f'{asked.attempt_id}: 200 unsigned')
        if asked.kind in EVENTS:
            return self._judge_stream(asked, body, is_whole)
        if is_whole and body != body_of(asked.attempt_id):
            promises.breach('MIXED', f'{asked.attempt_id} gets {body!r}')
        return 'served' if is_whole else 'cut'

    def _denied(self, asked, status) -> str:
        """Judge a failure, or a refusal of a request that is proper."""
        if status >= 500:
            return 'failed'
        is_known = asked.key in self.world.settled_keys()
        if status != 401 or is_known:
            self.world.promises.breach(
                'DENIED', f'{asked.attempt_id} gets {status}'
            )
        return 'denied'

    def _judge_stream(self, asked, body, is_whole) -> str:
        numbers = [int(found) for found in re.findall(rb'id: (\d+)\n', body)]
        if numbers != list(range(1, len(numbers) + 1)):
            self.world.promises.breach(
                'ORDER', f'{asked.attempt_id} gets events {numbers}'
            )
        whole = b''.join(
            event_of(asked.attempt_id, number)
            for number in range(1, EVENTS[asked.kind] + 1)
        )
        if not whole.startswith(body):
            self.world.promises.breach('MIXED', f'{asked.attempt_id}: {body!r}')
        if is_whole and body != whole:
            self.world.promises.breach(
                'ORDER', f'{asked.attempt_id} ends after {numbers}'
            )
        return 'served' if is_whole else 'cut'

    def _unanswered(self, asked) -> str:
        """Judge a connection that ended without an answer."""
        waited_ms = self.world.now_ms() - asked.sent_ms
        if waited_ms >= PATIENCE_MS[asked.kind]:
            return 'timed out'
        left_ms = self._instance.left_ms
        is_planned = left_ms is not None and left_ms > asked.sent_ms - 9000
        if is_planned and self.world.is_calm_but_planned(asked):
            self.world.promises.breach(
                'LOST', f'{asked.attempt_id} at {asked.instance}'
            )
        return 'unanswered'
