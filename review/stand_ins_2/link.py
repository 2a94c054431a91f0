"""A link whose open connections can go silent, while new ones work."""

import asyncio


class Link:
    """Passes on the connections of one machine to a server."""

    def __init__(self):
        self._target_port = 0
        self._server = None
        self._connections = set()
        self._tasks = set()
        # Called with the first bytes of each request, before they go on.
        self.on_bytes = lambda sent: None

    async def start(self, target_port):
        """Listen, and return the port."""
        self._target_port = target_port
        self._server = await asyncio.start_server(self._pass_on, '127.0.0.1')
        return self._server.sockets[0].getsockname()[1]

    def silence(self):
        """Let all open connections go silent for good, without a reset."""
        for connection in self._connections:
            connection.is_silent = True
        self._connections = set()

    def stop(self):
        """Stop listening, and close all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _pass_on(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        connection = _Passed()
        self._connections.add(connection)
        far = await asyncio.open_connection('127.0.0.1', self._target_port)
        try:
            await asyncio.gather(
                connection.copy(reader, far[1], self._note),
                connection.copy(far[0], writer, lambda sent: None),
            )
        except asyncio.CancelledError:
            return
        finally:
            self._tasks.discard(task)
            self._connections.discard(connection)
            writer.close()
            far[1].close()

    def _note(self, sent):
        self.on_bytes(sent)


class _Passed:
    def __init__(self):
        self.is_silent = False

    async def copy(self, reader, writer, on_bytes):
        """Copy bytes, and the close, until the connection is silent."""
        try:
            while True:
                piece = await reader.read(65536)
                if self.is_silent and piece:
                    continue
                if self.is_silent:
                    return
                if not piece:
                    writer.close()
                    return
                writer.write(piece)
                await writer.drain()
                on_bytes(piece)
        except ConnectionError:
            writer.close()
