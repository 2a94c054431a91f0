"""
Crowds of callers that do not behave, against a process of its own.

They guard against a process that runs out of memory: many large bodies of legal
size at once, whole, one byte short of their end or without a known end; answers
that nobody reads. The memory of the machine is lowered, so that a small crowd
shows the fault.
"""

from pathlib import Path

from twisted.internet import protocol, reactor

from tests.test_platform.front_process import (
    KEY,
    SETTINGS,
    FrontProcessCase,
)

MEMORY_MB = 110
CROWD = 60
BODY_BYTES = 1_048_576
# A member that is served has a connection to a target as well. The others are
# for the store, for peers and for connections that are closing.
DESCRIPTORS = 2 * CROWD + 40
# Connections that may still be closing after the crowd has left.
LEFT_DESCRIPTORS = 10
PIECE_BYTES = 16_384


class CrowdMember(protocol.Protocol):
    """Sends bytes on one connection, and keeps it open."""

    def __init__(self, payload, *, is_reading):
        self.payload = payload
        self.is_reading = is_reading
        self.received = b''
        self.is_lost = False

    def connectionMade(self):
        if not self.is_reading:
            self.transport.pauseProducing()
        self.transport.write(self.payload)

    def dataReceived(self, received):
        self.received += received

    def connectionLost(self, reason):
        self.is_lost = True


class CrowdTests(FrontProcessCase):
    settings_text = SETTINGS + f'limits.memory-mb={MEMORY_MB}\n'
    limits = {
        'max-header-bytes': 16_384,
        'max-body-bytes': BODY_BYTES,
        'header-timeout-ms': 3000,
        'idle-timeout-ms': 15_000,
    }

    async def begin(self):
        """Wait for the process; a body of legal size is served in calm."""
        await self.until_ready()
        self.crowd = []
        self.pid = self.program.transport.pid
        code, _ = await self.post('/submit/x', body=b'x' * BODY_BYTES)
        assert code == 200
        self.descriptors_before = self.count_descriptors()

    def count_descriptors(self):
        return len(list(Path(f'/proc/{self.pid}/fd').iterdir()))

    def read_peak_mb(self):
        """Return the highest resident memory of the process so far."""
        status = Path(f'/proc/{self.pid}/status').read_text()
        (line,) = (
            line for line in status.splitlines() if line.startswith('VmHWM')
        )
        return int(line.split()[1]) / 1024

    def add_member(self, payload, *, is_reading=True):
        """Let one more member connect and send."""
        number = len(self.crowd)
        member = CrowdMember(
            payload.replace(b'crowd', b'c%04d' % number), is_reading=is_reading
        )
        self.crowd.append(member)
        port = int(self.front.rpartition(':')[2])
        creator = protocol.ClientCreator(reactor, lambda: member)
        creator.connectTCP('127.0.0.1', port).addErrback(member.connectionLost)

    def count_ended(self):
        """Return the requests that the process has answered or refused."""
        output = self.program.output
        return output.count(b'"request ended"') + output.count(
            b'"request refused"'
        )

    async def until_crowd(self, condition):
        """Wait until a condition holds for all members, or they are lost."""
        await self.until(
            lambda: all(
                member.is_lost or condition(member) for member in self.crowd
            )
        )

    async def until_crowd_is_answered(self):
        await self.until_crowd(lambda member: b'\r\n\r\n' in member.received)

    async def finish(self):
        """Check the process; an ordinary request is answered at the end."""
        assert self.count_descriptors() <= DESCRIPTORS
        for member in self.crowd:
            if not member.is_lost:
                member.transport.abortConnection()
        await self.until_crowd(lambda member: member.is_lost)
        assert not self.program.ended.called, self.program.output[-500:]
        peak_mb = self.read_peak_mb()
        assert peak_mb <= MEMORY_MB, f'{peak_mb:.0f} MB at the highest'
        code, _ = await self.post('/submit/x')
        assert code == 200
        await self.until(
            lambda: (
                self.count_descriptors()
                <= self.descriptors_before + LEFT_DESCRIPTORS
            )
        )

    async def play(self, payload):
        """Let a crowd send, and an ordinary caller beside it."""
        await self.begin()
        for _ in range(CROWD):
            self.add_member(payload)
        code, _ = await self.post('/submit/x')
        assert code == 200
        await self.until_crowd_is_answered()
        await self.finish()

    async def test_bodies_one_byte_short_of_their_length(self):
        await self.play(make_request()[:-1])

    async def test_bodies_in_chunks_without_an_end(self):
        await self.play(make_chunked_request())

    async def test_whole_bodies(self):
        self.targets.delay_s = 1
        await self.play(make_request())

    async def test_bodies_with_a_key_of_nobody(self):
        await self.play(make_request(key='none')[:-1])
        self.check_statuses(b'401')

    async def test_bodies_for_no_route(self):
        await self.play(make_request(path='/none/x')[:-1])
        self.check_statuses(b'404')

    async def test_answers_that_nobody_reads(self):
        await self.begin()
        payload = make_request(path='/submit/large', body=b'')
        for _ in range(CROWD):
            ended = self.count_ended()
            self.add_member(payload, is_reading=False)
            await self.until(lambda ended=ended: self.count_ended() > ended)
        code, _ = await self.post('/submit/x')
        assert code == 200
        await self.finish()

    def check_statuses(self, status):
        """What the head decides is answered while the body is incomplete."""
        assert {member.received.split(b' ')[1] for member in self.crowd} == {
            status
        }


def make_request(path='/submit/x', key=KEY, body=b'x' * BODY_BYTES):
    return _make_head(path, key, f'Content-Length: {len(body)}') + body


def make_chunked_request():
    """Return a request that lacks its last chunk."""
    piece = b'%x\r\n%s\r\n' % (PIECE_BYTES, b'x' * PIECE_BYTES)
    pieces = piece * (BODY_BYTES // PIECE_BYTES)
    return _make_head('/submit/x', KEY, 'Transfer-Encoding: chunked') + pieces


def _make_head(path, key, framing):
    lines = (
        f'POST {path} HTTP/1.1',
        'Host: h.example',
        'X-Cicadahoist-Attempt-Id: crowd',
        f'Authorization: Token {key}',
        framing,
    )
    return ('\r\n'.join(lines) + '\r\n\r\n').encode()
