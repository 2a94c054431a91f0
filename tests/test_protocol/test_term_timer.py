import os
import signal
import socket
import subprocess
import sys

import pytest

from cicadahoist.clock import read_boot_ms

# The child checks its term, stops itself between the check and the send, and
# sends when it is resumed. Its socket library starts other threads, which must
# not receive SIGALRM.
CHILD = """
import os, signal, socket, sys
from cicadahoist.clock import read_boot_ms
from cicadahoist.protocol.term_timer import TermTimer, block_alarm
block_alarm()
import pynng
other_threads = pynng.Pair0(listen='tcp://127.0.0.1:0')
port, term_ms, armed = map(int, sys.argv[1:])
order = socket.create_connection(('127.0.0.1', port))
deadline_ms = read_boot_ms() + term_ms
if armed:
    TermTimer().arm(deadline_ms)
print(deadline_ms, flush=True)
if read_boot_ms() < deadline_ms:
    os.kill(os.getpid(), signal.SIGSTOP)
    order.sendall(b'order')
order.close()
"""
RENEWING_CHILD = """
import sys
from cicadahoist.clock import read_boot_ms
from cicadahoist.protocol.term_timer import TermTimer
term_ms = int(sys.argv[1])
timer = TermTimer()
first_end_ms = read_boot_ms() + term_ms
timer.arm(first_end_ms)
timer.arm(first_end_ms + 600_000)
while read_boot_ms() <= first_end_ms + 100:
    pass
print('renewed', flush=True)
second_end_ms = read_boot_ms() + term_ms
timer.arm(second_end_ms)
timer.disarm()
while read_boot_ms() <= second_end_ms + 100:
    pass
print('disarmed', flush=True)
timer.arm(read_boot_ms() - 1)
print('outlived', flush=True)
"""
SHORTEST_TERM_MS = 1000
LONGEST_TERM_MS = 32_000


def start_child(port, term_ms, armed):
    arguments = [str(port), str(term_ms), str(int(armed))]
    return subprocess.Popen(
        [sys.executable, '-c', CHILD, *arguments],
        stdout=subprocess.PIPE,
        text=True,
    )


def stop_before_send(listener, armed):
    """Return a child that was stopped after its check and before its send."""
    term_ms = SHORTEST_TERM_MS
    while term_ms <= LONGEST_TERM_MS:
        child = start_child(listener.getsockname()[1], term_ms, armed)
        connection, _ = listener.accept()
        _, status = os.waitpid(child.pid, os.WUNTRACED)
        if os.WIFSTOPPED(status):
            return child, connection
        # The machine was too slow, so the child was past its term or ended.
        connection.close()
        term_ms *= 2
    raise AssertionError('no child stopped within its term')


@pytest.mark.parametrize(
    ('armed', 'seen', 'ended_by'),
    [(True, b'', -signal.SIGALRM), (False, b'order', 0)],
)
def test_frozen_holder_sends_nothing_after_its_term(armed, seen, ended_by):
    """
    A holder that is suspended between check and send must not send late.

    Without the kernel timer it does, as the second case shows.
    """
    with socket.create_server(('127.0.0.1', 0)) as listener:
        child, connection = stop_before_send(listener, armed)
        deadline_ms = int(child.stdout.readline())
        while read_boot_ms() <= deadline_ms:
            signal.sigtimedwait([], 0.05)
        child.send_signal(signal.SIGCONT)
        assert child.wait() == ended_by
        with connection:
            assert connection.recv(16) == seen
        child.stdout.close()


def run_renewing_child():
    """Return the finished child that was fast enough for its terms."""
    term_ms = SHORTEST_TERM_MS // 2
    while term_ms <= LONGEST_TERM_MS:
        child = subprocess.run(
            [sys.executable, '-c', RENEWING_CHILD, str(term_ms)],
            capture_output=True,
            text=True,
            check=False,
        )
        if 'disarmed' in child.stdout:
            return child
        term_ms *= 2
    raise AssertionError('no child outlived a term that it renewed')


def test_renewed_or_disarmed_timer_does_not_end_the_process():
    child = run_renewing_child()
    assert child.stdout.split() == ['renewed', 'disarmed']
    assert child.returncode == -signal.SIGALRM
