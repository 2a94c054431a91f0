"""Stand-in for a worker of a plain service."""

import asyncio
import time

from review.stand_ins_2.http import Server

# A worker writes its entry this often; three missed ones remove it.
HEARTBEAT_S = 1.2
EXPIRY_S = 3.6
WORK_S = 0.03
POISON = b'poison'


class Worker:
    """
    Worker that runs requests, and crashes on those that are poison.

    :param store: the store in which it registers
    :param number: distinguishes it from other workers
    :param on_run: called with the worker and the id of each request that it runs
    :param down_s: time from a crash until it is back under a new id
    :param work_s: time that a request takes
    :param slots: requests that run at once; others wait, or are turned away
    :param queue: requests that wait at most
    :param is_dark: whether it falls silent instead, as a machine without power
    """

    def __init__(
        self,
        store,
        number,
        zone,
        on_run,
        down_s=4.0,
        *,
        work_s=WORK_S,
        slots=6,
        queue=24,
        is_dark=False,
    ):
        self._work_s = work_s
        self._slots = slots
        self._most = slots + queue
        self._present = 0
        self._free = asyncio.Semaphore(slots)
        self._is_dark = is_dark
        self._store = store
        self._number = number
        self._zone = zone
        self._on_run = on_run
        self._down_s = down_s
        self._incarnation = 0
        self.crash_count = 0
        # Seconds that it states as it turns a request away, 0 for no
        # statement, none to run it.
        self.refused_s = None
        # Called with the worker and the id of each request that reaches it.
        self.on_arrival = lambda worker, attempt: None
        self.name = ''
        self.server = Server(self._handle)

    async def start(self):
        """Start a new incarnation and register it."""
        await self.server.start()
        self._incarnation += 1
        self.name = f'i-{self._number:02x}{self._incarnation:04x}'
        self._store.put(
            'servers',
            self.name,
            {
                'service': 'desk',
                'address': f'127.0.0.1:{self.server.port}',
                'zone': self._zone,
                'version': 'v1',
                'slots': self._slots,
                'state': 'ready',
                'cold-left-ms': 0,
                'seq': self._incarnation,
                'born': int(time.time() * 1000),
            },
        )

    def crash(self):
        """End all work; be back under a new id some seconds later."""
        self.crash_count += 1
        loop = asyncio.get_running_loop()
        loop.call_later(EXPIRY_S, self._store.remove, 'servers', self.name)
        loop.call_later(self._down_s, self._restart)
        if self._is_dark:
            loop.call_soon(self.server.go_silent)
        else:
            loop.call_soon(self.server.stop)

    def _restart(self):
        self.server.end_silence()
        task = asyncio.ensure_future(self.start())
        task.add_done_callback(lambda _: None)

    async def _handle(self, request):
        attempt = request.headers.get('x-cicadahoist-attempt-id', '')
        if request.path == '/health':
            return 200, {'X-Cicadahoist-Instance-Id': self.name}, b''
        expected = request.headers.get('x-cicadahoist-expect-instance')
        if expected not in {None, self.name}:
            own = {
                'X-Cicadahoist-Instance-Id': self.name,
                'X-Cicadahoist-Attempt-Id': attempt,
            }
            return 421, own, b''
        self.on_arrival(self, attempt)
        if self.refused_s is not None:
            return 503, self._refuse(attempt), b''
        if self._present >= self._most:
            return 503, self._refuse(attempt), b''
        self._present += 1
        try:
            async with self._free:
                return await self._run(attempt, request)
        finally:
            self._present -= 1

    async def _run(self, attempt, request):
        self._on_run(self, attempt)
        if request.body == POISON:
            self.crash()
            await asyncio.sleep(60)
        await asyncio.sleep(self._work_s)
        return self._answer(attempt, request)

    def _refuse(self, attempt):
        headers = {
            'X-Cicadahoist-Attempt-Id': attempt,
            'X-Cicadahoist-Not-Executed': '1',
        }
        if self.refused_s:
            headers['Retry-After'] = str(self.refused_s)
        return headers

    def _answer(self, attempt, request):
        headers = {
            'X-Cicadahoist-Attempt-Id': attempt,
            'X-Cicadahoist-Server-Seal': f'{self.name}.{attempt}',
            'Keep-Alive': 'timeout=5',
        }
        return 200, headers, f'{request.path} of {attempt}'.encode()
