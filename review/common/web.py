"""HTTP/1.1 over asyncio streams, for stand-ins and clients."""

import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit

REASONS = {
    200: 'OK',
    202: 'Accepted',
    404: 'Not Found',
    409: 'Conflict',
    410: 'Gone',
    421: 'Misdirected Request',
    503: 'Service Unavailable',
}


class Request:
    """A complete request; header names are in lower case."""

    def __init__(self, method, target, headers, body):
        parts = urlsplit(target)
        self.method = method
        self.target = target
        self.path = unquote(parts.path)
        self.query = {
            name: texts[-1] for name, texts in parse_qs(parts.query).items()
        }
        self.headers = headers
        self.body = body

    def json(self):
        """Return the decoded body."""
        return json.loads(self.body)


async def read_head(reader):
    """Return the first line and the headers, none at the end of the input."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, text = line.partition(':')
        headers[name.strip().lower()] = text.strip()
    return first, headers


async def read_request(reader):
    """Return the next request of a connection, none at its end."""
    found = await read_head(reader)
    if found is None:
        return None
    first, headers = found
    method, target, _ = first.split(' ')
    size = int(headers.get('content-length', '0'))
    try:
        body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def build_head(status, headers):
    """Return the head of an answer."""
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Status")}']
    lines += [f'{name}: {text}' for name, text in headers.items()]
    return '\r\n'.join([*lines, '', '']).encode('latin-1')


def build_answer(status, headers, body=b''):
    """Return an answer with a stated length."""
    return build_head(status, {**headers, 'Content-Length': len(body)}) + body


def build_json_answer(status, content, headers=None):
    """Return an answer that carries JSON."""
    body = json.dumps(content).encode()
    fields = {'Content-Type': 'application/json', **(headers or {})}
    return build_answer(status, fields, body)


def build_chunk(piece):
    """Return one chunk of a body; an empty piece ends it."""
    return b'%x\r\n%s\r\n' % (len(piece), piece)


class Answer:
    """
    What a client received for one request.

    ``status`` is 0 without a head; ``is_whole`` tells whether it is complete.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b''
        self.is_whole = False

    @property
    def seal(self):
        """Signature of the worker, empty if there is none."""
        return self.headers.get('x-cicadahoist-server-seal', '')


class Connection:
    """A client's connection, for one request at a time."""

    def __init__(self, host, port):
        self._address = (host, port)
        self._reader = None
        self._writer = None

    async def send(self, method, target, headers, body=b''):
        """Send a request and return its answer; reconnect if need be."""
        answer = Answer()
        lines = [f'{method} {target} HTTP/1.1']
        lines += [f'{name}: {text}' for name, text in headers.items()]
        lines += [f'Content-Length: {len(body)}', '', '']
        try:
            if self._writer is None:
                self._reader, self._writer = await asyncio.open_connection(
                    *self._address
                )
            self._writer.write('\r\n'.join(lines).encode() + body)
            await self._read(answer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            answer.is_whole = False
        if not answer.is_whole or answer.headers.get('connection') == 'close':
            self.close()
        return answer

    async def _read(self, answer):
        found = await read_head(self._reader)
        if found is None:
            return
        first, answer.headers = found
        answer.status = int(first.split(' ')[1])
        if answer.headers.get('transfer-encoding') != 'chunked':
            size = int(answer.headers.get('content-length', '0'))
            answer.body = await self._reader.readexactly(size)
            answer.is_whole = True
            return
        while True:
            size = int((await self._reader.readuntil(b'\r\n'))[:-2], 16)
            piece = await self._reader.readexactly(size + 2)
            answer.body += piece[:-2]
            if not size:
                answer.is_whole = True
                return

    def close(self):
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
