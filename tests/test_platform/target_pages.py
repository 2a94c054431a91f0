"""Stand-in for targets, with the parts that the process test needs."""

import json
from itertools import count

from klein import Klein
from twisted.internet.defer import Deferred

LARGE_BYTES = 1_048_576


class TargetPages:
    """Answers as a plain service and as prefill and decode engine."""

    app = Klein()

    def __init__(self, reactor) -> None:
        self._reactor = reactor
        self._handles = count(1)
        self.seen = []
        self.delay_s = 0

    @app.route('/', branch=True)
    def run(self, request):
        headers = {
            name.lower(): values[0]
            for name, values in request.requestHeaders.getAllRawHeaders()
        }
        self.seen.append((request.path, headers))
        attempt = headers.get(b'x-cicadahoist-attempt-id', b'')
        request.setHeader(b'X-Cicadahoist-Attempt-Id', attempt)
        if headers.get(b'x-cicadahoist-serving-stage') == b'prefill':
            name = f'h{next(self._handles)}'
            return json.dumps({'kv-handle': name, 'tokens': 1, 'version': 1})
        request.setHeader(b'X-Cicadahoist-Server-Seal', b'seal')
        answer = Deferred()
        body = b'id: 1\ndata: t\n\n'
        if request.path.endswith(b'/large'):
            body = b'x' * LARGE_BYTES
        self._reactor.callLater(self.delay_s, answer.callback, body)
        return answer
