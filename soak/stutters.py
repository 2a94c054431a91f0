"""Targets that stutter: late copies of their answers, and unframed answers."""

from collections.abc import Callable
from weakref import WeakKeyDictionary

from twisted.web.http import RESPONSES

SHAPES: dict[str, Callable] = {}
UNFRAMED: dict[str, Callable] = {}
MOMENTS = ('behind', 'idle', 'next')
FRAMINGS = ('length', 'chunks')
COPIED_SHARE = 0.4
UNFRAMED_SHARE = 0.2
FAILED_SHARE = 0.3
FAILED_STATUSES = (404, 500)
SIZES = (1, 1, 8, 60)
MAX_IDLE_S = 0.06
PART_S = 0.02
# Fewer bytes of a copy cannot be told from the end of an unframed body.
MIN_BYTES = len(b'HTTP/')


class Answer:
    """
    An answer of a target as it was meant.

    ``is_whole`` tells whether the target sends all of it, ``may_be_cut``
    whether callers may get less, as its end cannot be told.

    :param seal: signature of this one answer, empty if it has none
    :param is_run: whether the target ran the request
    """

    __slots__ = (
        'attempt_id',
        'body',
        'content_type',
        'is_run',
        'is_whole',
        'may_be_cut',
        'seal',
        'status',
    )

    def __init__(
        self,
        attempt_id: str,
        seal: str = '',
        status: int = 200,
        body: bytes = b'',
        *,
        is_run: bool = True,
        content_type: str = 'text/plain',
    ) -> None:
        self.attempt_id = attempt_id
        self.seal = seal
        self.status = status
        self.body = body
        self.is_run = is_run
        self.is_whole = True
        self.may_be_cut = False
        self.content_type = content_type

    def encode_head(self, framing: str = '') -> bytes:
        """Return the head; other headers come before the name."""
        lines = [
            f'HTTP/1.1 {self.status} {RESPONSES[self.status].decode()}',
            'Server: target',
            f'Content-Type: {self.content_type}',
            f'X-Cicadahoist-Attempt-Id: {self.attempt_id}',
        ]
        if self.seal:
            lines.append(f'X-Cicadahoist-Server-Seal: {self.seal}')
        if not self.is_run:
            lines.append('X-Cicadahoist-Not-Executed: 1')
        if framing == 'length':
            lines.append(f'Content-Length: {len(self.body)}')
        elif framing == 'chunks':
            lines.append('Transfer-Encoding: chunked')
        return '\r\n'.join((*lines, '', '')).encode()

    def encode_body(self, framing: str = '') -> bytes:
        if framing != 'chunks':
            return self.body
        chunk = b'%x\r\n%b\r\n' % (len(self.body), self.body)
        return (chunk if self.body else b'') + b'0\r\n\r\n'


def register_shape(shape: Callable) -> Callable:
    """Register what is sent of a copy, as parts that follow each other."""
    SHAPES[shape.__name__] = shape
    return shape


def register_unframed(ending: Callable) -> Callable:
    """Register an answer without a length; it returns its parts."""
    UNFRAMED[ending.__name__] = ending
    return ending


@register_shape
def whole(head: bytes, body: bytes, rng) -> list[bytes]:
    return [head + body]


@register_shape
def in_parts(head: bytes, body: bytes, rng) -> list[bytes]:
    encoded = head + body
    middle = rng.randrange(1, len(encoded))
    return [encoded[:middle], encoded[middle:]]


@register_shape
def broken_in_body(head: bytes, body: bytes, rng) -> list[bytes]:
    return [head + body[: rng.randrange(len(body) or 1)]]


@register_shape
def broken_before_name(head: bytes, body: bytes, rng) -> list[bytes]:
    return [head[: rng.randrange(1, head.index(b'X-Cicadahoist-Attempt'))]]


@register_shape
def broken_behind_name(head: bytes, body: bytes, rng) -> list[bytes]:
    end = head.index(b'\r\n', head.index(b'X-Cicadahoist-Attempt'))
    return [head[: rng.randrange(end, len(head))]]


@register_unframed
def unframed(answer: Answer, copy: list[bytes]) -> list[bytes]:
    return [answer.encode_head() + answer.body]


@register_unframed
def unframed_and_copied(answer: Answer, copy: list[bytes]) -> list[bytes]:
    answer.may_be_cut = True
    return [answer.encode_head() + answer.body + copy[0], *copy[1:]]


@register_unframed
def unframed_and_reset(answer: Answer, copy: list[bytes]) -> list[bytes]:
    answer.is_whole, answer.may_be_cut = False, True
    return [answer.encode_head() + answer.body[: len(answer.body) // 2]]


class Connection:
    """One connection of a target; copies come between its answers only."""

    __slots__ = ('_busy_until_s', '_reactor', '_transport', 'is_idle', 'last')

    def __init__(self, reactor, transport) -> None:
        self._reactor = reactor
        self._transport = transport
        self._busy_until_s = 0.0
        self.is_idle = True
        self.last: Answer | None = None

    @property
    def busy_s(self) -> float:
        """Return how long parts of a copy are still to come."""
        return max(0.0, self._busy_until_s - self._reactor.seconds())

    def send(self, parts: list[bytes]) -> None:
        self._transport.write(parts[0])
        for number, part in enumerate(parts[1:], start=1):
            self._reactor.callLater(
                number * PART_S, self._transport.write, part
            )
        if len(parts) > 1:
            self._busy_until_s = self._reactor.seconds() + len(parts) * PART_S

    def send_if_idle(self, parts: list[bytes]) -> None:
        if self.is_idle and not self.busy_s:
            self.send(parts)

    def close(self, *, is_clean: bool) -> float:
        """Close once what was sent has left this process; return when."""
        transport = self._transport
        end = (
            transport.loseConnection if is_clean else transport.abortConnection
        )
        delay_s = PART_S + self.busy_s
        self._reactor.callLater(delay_s, end)
        return self._reactor.seconds() + delay_s


class Stutter:
    """
    Stutter of one target, on all its connections.

    :param reactor: reactor of the soak
    :param rng: source of all random choices
    """

    def __init__(self, reactor, rng) -> None:
        self._reactor = reactor
        self._rng = rng
        self._moments: list[str] = []
        self._shapes: list[str] = []
        self._unframed: list[str] = []
        self._connection_by_channel: WeakKeyDictionary = WeakKeyDictionary()
        self._closing_until_s = 0.0

    @property
    def is_closing(self) -> bool:
        """Whether a connection is to be closed behind an unframed answer."""
        return self._reactor.seconds() <= self._closing_until_s

    def begin(self) -> None:
        """Choose what is played until `end`."""
        self._moments = self._choose_some(MOMENTS)
        self._shapes = self._choose_some(SHAPES)
        self._unframed = self._choose_some(UNFRAMED)

    def end(self) -> None:
        self._moments = []

    def choose_status(self) -> int:
        """Return the status of an answer; it fails only beside copies."""
        if self._moments and self._rng.random() < FAILED_SHARE:
            return self._rng.choice(FAILED_STATUSES)
        return 200

    def choose_size(self) -> int:
        """
        Return how often an answer repeats its text.

        The rest of a long copy that breaks off covers whole short answers.
        """
        return self._rng.choice(SIZES) if self._moments else 1

    def receive_request(self, channel) -> float:
        """
        Process the arrival of a request.

        :return: time in s for which its answer must wait for a copy
        """
        connection = self._get_connection(channel)
        connection.is_idle = False
        if connection.last and not connection.busy_s:
            self._send_copy('next', connection.send, connection.last)
        return connection.busy_s

    def finish_answer(self, channel, answer: Answer | None) -> None:
        """Process the end of an answer, none if it may not be copied."""
        connection = self._get_connection(channel)
        connection.is_idle = True
        connection.last = answer
        if answer is not None:
            self._send_copy('behind', connection.send, answer)
            delay_s = self._rng.uniform(0, MAX_IDLE_S)
            self._send_copy(
                'idle',
                lambda parts: self._reactor.callLater(
                    delay_s, connection.send_if_idle, parts
                ),
                answer,
            )

    def send_unframed(self, channel, answer: Answer) -> bool:
        """Send an answer without a length, or return ``False``."""
        if not self._moments or self._rng.random() >= UNFRAMED_SHARE:
            return False
        connection = self._get_connection(channel)
        copied = self._rng.choice((answer, connection.last or answer))
        framing = self._rng.choice(('', *FRAMINGS))
        copy = self._build_copy(copied, framing)
        if len(b''.join(copy)) < MIN_BYTES:
            copy = [answer.encode_head()[:MIN_BYTES]]
        name = self._rng.choice(self._unframed)
        connection.send(UNFRAMED[name](answer, copy))
        close_s = connection.close(is_clean=answer.is_whole)
        self._closing_until_s = max(self._closing_until_s, close_s)
        return True

    def _send_copy(self, moment: str, send: Callable, answer: Answer) -> None:
        if moment in self._moments and self._rng.random() < COPIED_SHARE:
            send(self._build_copy(answer, self._rng.choice(FRAMINGS)))

    def _build_copy(self, answer: Answer, framing: str) -> list[bytes]:
        shape = SHAPES[self._rng.choice(self._shapes)]
        head, body = answer.encode_head(framing), answer.encode_body(framing)
        return shape(head, body, self._rng)

    def _choose_some(self, names) -> list[str]:
        return self._rng.sample(sorted(names), self._rng.randint(1, len(names)))

    def _get_connection(self, channel) -> Connection:
        connection = self._connection_by_channel.get(channel)
        if connection is None:
            connection = Connection(self._reactor, channel.transport)
            self._connection_by_channel[channel] = connection
        return connection
