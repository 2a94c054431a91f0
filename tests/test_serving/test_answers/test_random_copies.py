"""
Random requests and copies on the connections of one instance.

They guard against bytes of one answer that count for another request, or for
more than they are (MIXED): whatever a caller gets was sent to it as an answer.
"""

from random import Random

import h11
import pytest

from tests.test_serving.test_answers.copies import FIRST_HEADERS
from tests.test_serving.world import World, target

STEPS = 500
PATHS = (b'/submit/x', b'/lookup/x')
METHODS = (b'GET', b'POST', b'HEAD')
STATUSES = (200, 200, 204, 304, 404, 500)
SEAL = b'x-cicadahoist-server-seal'
NAME = b'x-cicadahoist-attempt-id'
OWN_STATUSES = {502, 503, 504}


class Answer:
    """One answer of a target to one attempt."""

    def __init__(self, random, sent):
        method = sent.request.partition(b' ')[0]
        self.status = random.choice(STATUSES)
        self.name = sent.attempt_id
        self.seal = b'%s-%d' % (self.name, random.getrandbits(32))
        self.body = b'body of ' + self.seal * random.randint(1, 3)
        framing = random.choice(('length', 'chunks', 'close'))
        is_bare = method == b'HEAD' or self.status in {204, 304}
        self.is_closed = framing == 'close' and not is_bare
        framed = self.body
        lines = [b'HTTP/1.1 %d Status' % self.status, *FIRST_HEADERS]
        if framing == 'length':
            lines.append(b'Content-Length: %d' % len(self.body))
        elif framing == 'chunks':
            lines.append(b'Transfer-Encoding: chunked')
            cut = random.randrange(1, len(self.body))
            pieces = (self.body[:cut], self.body[cut:], b'')
            framed = b''.join(b'%x\r\n%s\r\n' % (len(p), p) for p in pieces)
        lines.extend((NAME + b': ' + self.name, SEAL + b': ' + self.seal))
        if is_bare:
            self.body = framed = b''
        self.wire = b'\r\n'.join(lines) + b'\r\n\r\n' + framed


class Play:
    """Callers, targets and what they have sent, drawn from a seed."""

    def __init__(self, seed):
        self.random = Random(seed)
        self.world = World()
        self.world.add(target('t1'), target('t2'))
        self.callers = []
        self._names_count = 0
        self._unanswered = []
        self._answers_by_seal = {}
        self._wires_by_connection = {}

    def run(self):
        for _ in range(STEPS):
            self.random.choice(
                (self.send, self.send, self.answer, self.answer, self.pass_time)
            )()
        while self._unanswered:
            self.answer()

    def send(self):
        """Send a request, also one that bears the name of an earlier one."""
        caller = self.random.choice((None, *self.callers))
        if caller is None or caller.is_closed:
            caller = self.world.caller()
            caller.requests = []
            self.callers.append(caller)
        self._names_count += 1
        name = b'x%d' % self._names_count
        if self.random.random() < 0.2:
            earlier = self._names_count - self.random.randrange(10)
            name = b'x%d' % max(1, earlier)
        method = self.random.choice(METHODS)
        caller.requests.append((method, name))
        caller.write(
            b'%s %s HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\n'
            b'Authorization: Token k1\r\n%s: %s\r\n\r\n'
            % (method, self.random.choice(PATHS), NAME, name)
        )

    def pass_time(self):
        self.world.clock.advance(self.random.choice((1, 5, 50)))

    def answer(self):
        """Answer an attempt, with copies before and behind the answer."""
        self._collect()
        if not self._unanswered:
            return
        place = self.random.randrange(len(self._unanswered))
        sent = self._unanswered.pop(place)
        wires = self._wires_by_connection.setdefault(sent.connection, [])
        if wires and self.random.random() < 0.3:
            self._write(sent, self._cut(self.random.choice(wires)))
        answer = Answer(self.random, sent)
        self._answers_by_seal[answer.seal] = answer
        wires.append(answer.wire)
        behind = b''
        if self.random.random() < 0.2:
            behind = self.random.choice(wires)
            if not answer.is_closed:
                behind = self._cut(behind)
        if self.random.random() < 0.5:
            self._write(sent, answer.wire + behind)
        else:
            self._write(sent, answer.wire)
            sent.transport.receive_unread(behind)
            if answer.is_closed:
                self._write(sent, behind)
        if answer.is_closed and not sent.is_closed:
            sent.close()
        self._collect()

    def count_checked(self):
        """Check all answers to callers; return how many targets sent."""
        return sum(self._check(caller) for caller in self.callers)

    def _collect(self):
        """Note new attempts, and forget those that have ended."""
        self._unanswered += self.world.sent
        self.world.sent.clear()
        self._unanswered = [
            sent for sent in self._unanswered if not sent.is_closed
        ]

    def _cut(self, wire):
        if self.random.random() < 0.5:
            return wire
        return wire[: self.random.randint(1, len(wire))]

    def _write(self, sent, received):
        while received and not sent.is_closed:
            size = self.random.randint(1, len(received))
            sent.write(received[:size])
            received = received[size:]

    def _check(self, caller):
        """Read the answers of a caller one after the other."""
        rest = caller.received
        answered_count = 0
        for method, name in caller.requests:
            if not rest:
                break
            http = h11.Connection(h11.CLIENT)
            http.send(
                h11.Request(method=method, target='/', headers=[('Host', 'h')])
            )
            http.send(h11.EndOfMessage())
            http.receive_data(rest)
            head = http.next_event()
            body = b''
            while isinstance(event := http.next_event(), h11.Data):
                body += event.data
            assert isinstance(event, h11.EndOfMessage)
            headers = dict(head.headers)
            assert headers[NAME] == name
            answered_count += self._check_answer(head, headers, body)
            rest = http.trailing_data[0]
        return answered_count

    def _check_answer(self, head, headers, body):
        """Return whether a target has sent an answer, and not this instance."""
        if SEAL not in headers:
            assert head.status_code in OWN_STATUSES
            assert not body
            return False
        # Each answer is told once: a copy of it answers nothing.
        assert headers[SEAL] in self._answers_by_seal
        answer = self._answers_by_seal.pop(headers[SEAL])
        assert answer.name == headers[NAME]
        assert (answer.status, answer.body) == (head.status_code, body)
        return True


@pytest.mark.parametrize('seed', range(8))
def test_callers_get_their_own_answers_whatever_copies_come(seed):
    play = Play(seed)
    play.run()
    assert play.count_checked() > STEPS / 10
