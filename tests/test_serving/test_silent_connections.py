"""
Tests of how long TCP keeps a connection to a silent target.

They guard against connections that TCP ends because a sound target, which may
fall silent for a second or so and go on, has not acknowledged anything.
"""

import socket
from itertools import accumulate

import pytest

from cicadahoist.clock import MS_PER_S
from cicadahoist.serving.outbound import TargetConnection
from tests.test_serving.turned_reactor import SocketCaller, TurnedReactor
from tests.test_serving.world import World

STEP_MS = 50
LONGEST_SILENCE_MS = 2000
# Linux doubles this time with each retransmission.
FIRST_RETRANSMISSION_MS = 200


class TcpTimers:
    """
    When Linux gives up a connection on which nothing is acknowledged.

    :param options: socket options of the connection by number
    """

    def __init__(self, options) -> None:
        self.timeout_ms = options[socket.TCP_USER_TIMEOUT]
        self.idle_ms = options[socket.TCP_KEEPIDLE] * MS_PER_S
        self.period_ms = options[socket.TCP_KEEPINTVL] * MS_PER_S

    def keep_probing(self, silent_from_ms, silent_ms):
        """
        Return whether an idle connection survives a silence of its peer.

        :param silent_from_ms: begin of the silence, from the last byte
        """
        heard_ms = 0
        probe_ms = self.idle_ms
        has_open_probe = False
        while probe_ms < silent_from_ms + silent_ms + 2 * self.timeout_ms:
            if has_open_probe and probe_ms - heard_ms >= self.timeout_ms:
                return False
            is_silent = 0 <= probe_ms - silent_from_ms < silent_ms
            has_open_probe = is_silent
            if not is_silent:
                heard_ms = probe_ms
            probe_ms += self.period_ms if is_silent else self.idle_ms
        return True

    def keep_sending(self, silent_ms):
        """Return whether bytes that are sent as a silence begins survive it."""
        waits_ms = (FIRST_RETRANSMISSION_MS << count for count in range(10))
        for sent_ms in accumulate(waits_ms):
            if sent_ms >= self.timeout_ms:
                return False
            if sent_ms >= silent_ms:
                return True
        return False


@pytest.fixture
def timers():
    caller = SocketCaller(TurnedReactor(), TargetConnection(World().clock))
    yield TcpTimers(
        {
            option: caller.transport.socket.getsockopt(
                socket.IPPROTO_TCP, option
            )
            for option in (
                socket.TCP_USER_TIMEOUT,
                socket.TCP_KEEPIDLE,
                socket.TCP_KEEPINTVL,
            )
        }
    )
    caller.transport.socket.close()
    caller.close()


# Guards against a TCP_USER_TIMEOUT that ends a connection at the second probe:
# it counts from the last byte, which may be older than the silence.
@pytest.mark.parametrize('silent_ms', [1100, 1500, LONGEST_SILENCE_MS])
def test_a_short_silence_does_not_end_a_connection(timers, silent_ms):
    starts_ms = range(0, 3 * timers.idle_ms, STEP_MS)
    assert all(timers.keep_probing(start, silent_ms) for start in starts_ms)


# Guards against the end of a connection on which a request was just sent.
@pytest.mark.parametrize('silent_ms', [1100, 1500, LONGEST_SILENCE_MS])
def test_a_request_sent_into_a_short_silence_arrives(timers, silent_ms):
    assert timers.keep_sending(silent_ms)


def test_a_target_that_stays_silent_loses_its_connections(timers):
    assert not timers.keep_probing(0, 60_000)
    assert not timers.keep_sending(60_000)
