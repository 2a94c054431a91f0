"""
Test the socket options of client connections.

Without them, the kernel could deliver an order after the order bound, when
another holder may have the lease.
"""

import socket
import struct
import threading

from twisted.internet.protocol import Factory, Protocol
from twisted.web.client import URI

from cicadahoist.outside.connections import Endpoints
from tests.loopback import LoopbackCase


class EndpointsTest(LoopbackCase):
    async def connect(self, send_timeout_ms):
        port = self.reactor.listenTCP(
            0, Factory.forProtocol(Protocol), interface='127.0.0.1'
        )
        self.addCleanup(port.stopListening)
        uri = URI.fromBytes(b'http://127.0.0.1:%d/' % port.getHost().port)
        endpoints = Endpoints(self.reactor, 2000, send_timeout_ms)
        endpoint = endpoints.endpointForURI(uri)
        opened = await endpoint.connect(Factory.forProtocol(Protocol))
        self.addCleanup(self.clock.sleep, 1)
        self.addCleanup(opened.transport.abortConnection)
        return opened.transport.getHandle()

    async def test_send_timeout_sets_user_timeout_and_reset_on_close(self):
        handle = await self.connect(700)
        level, option = socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
        assert handle.getsockopt(level, option) == 700
        linger = handle.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
        assert struct.unpack('ii', linger) == (1, 0)

    async def test_without_send_timeout_kernel_defaults_apply(self):
        handle = await self.connect(0)
        level = socket.IPPROTO_TCP
        assert handle.getsockopt(level, socket.TCP_USER_TIMEOUT) == 0
        assert handle.getsockopt(level, socket.TCP_NODELAY)

    async def test_ip_addresses_start_no_resolver_thread(self):
        before = threading.active_count()
        await self.connect(0)
        assert threading.active_count() == before
