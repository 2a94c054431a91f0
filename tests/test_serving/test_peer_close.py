"""
Tests of the recognition of closed connections on real sockets.

They guard against answers for callers whose close waits in the socket.
"""

import select
import socket
import struct

import pytest

from cicadahoist.serving.peer_close import is_closed_by_peer


class Transport:
    """Transport that only has a socket."""

    def __init__(self, handle) -> None:
        self._handle = handle

    def getHandle(self):
        return self._handle


@pytest.fixture
def ends():
    """Both ends of a TCP connection, the own one first."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        peer = socket.create_connection(listener.getsockname())
        own, _ = listener.accept()
    own.setblocking(False)
    with own, peer:
        yield own, peer


def wait_for_input(own):
    """Wait until the system has received what the peer sent."""
    assert select.select([own], [], [], 30)[0]


def test_an_open_connection_is_not_closed(ends):
    own, _ = ends
    assert not is_closed_by_peer(Transport(own))


def test_a_close_is_recognized_before_it_is_read(ends):
    own, peer = ends
    peer.close()
    wait_for_input(own)
    assert is_closed_by_peer(Transport(own))
    assert own.recv(1) == b''


def test_unread_bytes_stay_unread(ends):
    own, peer = ends
    peer.sendall(b'POST')
    wait_for_input(own)
    assert not is_closed_by_peer(Transport(own))
    assert own.recv(9) == b'POST'


def test_a_reset_is_recognized(ends):
    own, peer = ends
    peer.sendall(b'x')
    wait_for_input(own)
    own.recv(1)
    peer.setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
    )
    peer.close()
    wait_for_input(own)
    assert is_closed_by_peer(Transport(own))
