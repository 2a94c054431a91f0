"""A small HTTP/1.1 server and client on asyncio, for loopback only."""

import asyncio
import json
import socket
import struct

CLOSE_CHECK_S = 0.2
LINGER_RESET = struct.pack('ii', 1, 0)


class Request:
    """One request as it was read."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.path, _, query = target.partition('?')
        self.query = dict(
            pair.split('=', 1) for pair in query.split('&') if '=' in pair
        )
        self.headers = headers
        self.body = body

    @property
    def json(self):
        """The body as JSON."""
        return json.loads(self.body)


async def read_head(reader):
    """Return the first line and the headers, none at the end."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = raw.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines:
        name, found, text = line.partition(':')
        if found:
            headers.setdefault(name.strip().lower(), text.strip())
    return first, headers


async def read_body(reader, headers):
    """Return the body of a message with a length or in chunks."""
    if 'chunked' in headers.get('transfer-encoding', ''):
        body = b''
        while True:
            size = int(await reader.readuntil(b'\r\n'), 16)
            piece = await reader.readexactly(size + 2)
            if not size:
                return body
            body += piece[:-2]
    return await reader.readexactly(int(headers.get('content-length', '0')))


def build_answer(status, headers, body):
    """Return the bytes of an answer with a length."""
    lines = [f'HTTP/1.1 {status} x', f'Content-Length: {len(body)}']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


class Server:
    """Serves each request by a coroutine that returns the answer's parts."""

    def __init__(self, handle, host='127.0.0.1', port=0):
        self._handle = handle
        self._host = host
        self.port = port
        self._server = None
        self._writers = set()
        self._tasks = set()
        # Sockets that keep the port of a silent server.
        self._silent_sockets = []

    async def start(self):
        """Listen; a later start uses the same port."""
        self._server = await asyncio.start_server(
            self._serve, self._host, self.port, backlog=256
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self):
        """Stop listening, and reset all connections, as a crash does."""
        if self._server is None:
            return
        self._server.close()
        self._server = None
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            reset(writer)

    def go_silent(self):
        """Answer nothing more, and let new connections hang, as in the dark."""
        listening = self._server.sockets[0].dup()
        self._server.close()
        self._server = None
        for task in list(self._tasks):
            task.cancel()
        listening.listen(0)
        # The kernel drops what exceeds the queue of connections.
        self._silent_sockets = [listening]
        for _ in range(2):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self._host, self.port))
            self._silent_sockets.append(filler)

    def end_silence(self):
        """Reset all connections that were silent."""
        for one in self._silent_sockets:
            one.close()
        self._silent_sockets = []
        for writer in list(self._writers):
            reset(writer)
        self._writers = set()

    @property
    def is_silent(self):
        """Whether the server has gone silent."""
        return bool(self._silent_sockets)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while await self._serve_one(reader, writer):
                continue
        except (
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            ConnectionError,
        ):
            return
        finally:
            self._tasks.discard(task)
            if not self.is_silent:
                self._writers.discard(writer)
                writer.close()

    async def _serve_one(self, reader, writer):
        head = await read_head(reader)
        if head is None:
            return False
        first, headers = head
        method, target, _ = first.split(' ')
        body = await read_body(reader, headers)
        request = Request(method, target, headers, body)
        handling = asyncio.ensure_future(self._handle(request))
        try:
            # A request is dropped when its connection closes.
            while not handling.done():
                await asyncio.wait({handling}, timeout=CLOSE_CHECK_S)
                if reader.at_eof():
                    return False
        finally:
            handling.cancel()
        answer = handling.result()
        if answer is None:
            return False
        writer.write(build_answer(*answer))
        await writer.drain()
        return True


def reset(writer):
    """Reset a connection."""
    sock = writer.get_extra_info('socket')
    if sock is not None:
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        except OSError:
            return
    writer.transport.abort()


class Connection:
    """A kept connection of a client."""

    def __init__(self, port, host='127.0.0.1'):
        self._host = host
        self._port = port
        self._reader = None
        self._writer = None

    async def call(self, method, target, headers, body=b'', timeout_s=10):
        """
        Send a request and return its status, headers and body.

        The status is 0 if the connection ends without an answer, and -1 if
        none comes in time; both end the connection.
        """
        try:
            return await asyncio.wait_for(
                self._call(method, target, headers, body), timeout_s
            )
        except asyncio.TimeoutError:
            self.close()
            return -1, {}, b''
        except (OSError, asyncio.IncompleteReadError):
            self.close()
            return 0, {}, b''

    def close(self):
        """Close the connection; the next call opens another one."""
        if self._writer is not None:
            self._writer.close()
        self._writer = None

    async def _call(self, method, target, headers, body):
        if self._writer is None:
            self._reader, self._writer = await asyncio.open_connection(
                self._host, self._port
            )
        lines = [f'{method} {target} HTTP/1.1']
        lines += [f'{name}: {text}' for name, text in headers.items()]
        lines.append(f'Content-Length: {len(body)}')
        self._writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
        head = await read_head(self._reader)
        if head is None:
            self.close()
            return 0, {}, b''
        first, answer_headers = head
        answer_body = await read_body(self._reader, answer_headers)
        if answer_headers.get('connection', '').lower() == 'close':
            self.close()
        return int(first.split(' ')[1]), answer_headers, answer_body


def find_free_port():
    """Return a port that is free for TCP and UDP."""
    while True:
        with (
            socket.socket() as stream,
            socket.socket(type=socket.SOCK_DGRAM) as datagrams,
        ):
            stream.bind(('127.0.0.1', 0))
            port = stream.getsockname()[1]
            try:
                datagrams.bind(('127.0.0.1', port))
            except OSError:
                continue
            return port
