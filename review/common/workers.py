"""Stand-ins for workers."""

import asyncio
import itertools
import socket
import struct

from common.web import (
    build_answer,
    build_chunk,
    build_head,
    build_json_answer,
    read_request,
)

ATTEMPT_ID = 'x-cicadahoist-attempt-id'
# Makes the system reset a connection that is closed.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_numbers = itertools.count(1)


class Worker:
    """
    A worker that registers itself, runs requests and rejects those too many.

    :param store: where it registers itself
    :param service: service that it belongs to
    :param zone: its zone
    :param record: writes a line to the record of the case
    :param work_s: returns how long a request runs
    :param slots: requests that run at the same time
    :param queue: requests that wait at most
    :param stage: role of an engine, empty for a plain service
    :param event_s: time between two events of a stream
    """

    def __init__(
        self,
        store,
        service,
        zone,
        record,
        work_s,
        slots=6,
        queue=3,
        stage='',
        event_s=0.1,
    ):
        self.name = f'i-{next(_numbers):04x}'
        self.address = ''
        self._store = store
        self._service = service
        self._zone = zone
        self._record = record
        self._work_s = work_s
        self._slots = slots
        self._queue = queue
        self._stage = stage
        self._event_s = event_s
        self._places = asyncio.Semaphore(slots)
        self.open_count = 0
        self._server = None
        self._writers = set()
        # Attempts that began to run, with their times.
        self.ran = {}
        # Decides whether a second copy of an answer is sent late.
        self.sends_copy = lambda: False
        self.copied = []
        self.answered = 0

    async def start(self, born_ms, host='127.0.0.1'):
        """Serve, and register."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'{host}:{port}'
        entry = {
            'service': self._service,
            'address': self.address,
            'zone': self._zone,
            'version': 'v1',
            'slots': self._slots,
            'state': 'ready',
            'cold-left-ms': 0,
            'seq': 0,
            'born': born_ms,
        }
        if self._stage:
            entry['stage'] = self._stage
            entry['models'] = [{'name': 'm', 'version': 1, 'adapters': []}]
        self._store.put('servers', self.name, entry)

    def close(self):
        """Accept no connections any more, and reset those that are open."""
        self._server.close()
        for writer in list(self._writers):
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        late_copy = b''
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                if late_copy:
                    # An extra response, where the next one is expected.
                    writer.write(late_copy)
                    late_copy = b''
                sent = await self._answer(request, reader, writer)
                if sent and self.sends_copy():
                    attempt = request.headers.get(ATTEMPT_ID, '')
                    self.copied.append(attempt)
                    self._record(
                        self.name,
                        f'will repeat its {sent[9:12].decode()} to {attempt}',
                    )
                    late_copy = sent
        except ConnectionError:
            return
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _answer(self, request, reader, writer):
        """Answer a request; return the bytes of a plain answer."""
        if request.path == '/cicadahoist/report':
            writer.write(
                build_json_answer(200, {'stage': self._stage, 'seq': 0})
            )
            return b''
        if request.path == '/health':
            own = {'X-Cicadahoist-Instance-Id': self.name}
            writer.write(build_answer(200, own))
            return b''
        attempt = request.headers.get(ATTEMPT_ID, '')
        expected = request.headers.get('x-cicadahoist-expect-instance')
        echo = {'X-Cicadahoist-Attempt-Id': attempt}
        if not attempt or expected != self.name:
            writer.write(build_answer(421, echo))
            return b''
        self.answered += 1
        if self.open_count >= self._slots + self._queue:
            self._record(self.name, f'rejects {attempt}')
            echo['X-Cicadahoist-Not-Executed'] = '1'
            sent = build_answer(503, echo)
            writer.write(sent)
            return sent
        self.open_count += 1
        try:
            return await self._run(request, reader, writer, attempt, echo)
        finally:
            self.open_count -= 1

    async def _run(self, request, reader, writer, attempt, echo):
        async with self._places:
            if reader.at_eof() or writer.transport.is_closing():
                self._record(self.name, f'drops {attempt}: closed')
                return b''
            self.ran.setdefault(attempt, []).append(
                asyncio.get_running_loop().time()
            )
            self._record(self.name, f'runs {attempt}')
            seal = {'X-Cicadahoist-Server-Seal': f'{self.name}.{attempt}'}
            if self._stage:
                await self._stream(request, writer, {**echo, **seal})
                return b''
            await asyncio.sleep(self._work_s())
            sent = build_answer(
                200, {**echo, **seal}, f'answer to {attempt}'.encode()
            )
            writer.write(sent)
            return sent

    async def _stream(self, request, writer, headers):
        counts = request.headers['x-cicadahoist-token-count']
        headers['Content-Type'] = 'text/event-stream'
        headers['Transfer-Encoding'] = 'chunked'
        writer.write(build_head(200, headers))
        for number in range(1, int(counts.partition(',')[2]) + 1):
            await asyncio.sleep(self._event_s)
            if writer.transport.is_closing():
                return
            event = f'id: {number}\ndata: token {number}\n\n'
            writer.write(build_chunk(event.encode()))
            await writer.drain()
        writer.write(build_chunk(b''))
