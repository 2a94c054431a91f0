"""Entries with stand-ins for engines, services and the store, in memory."""

from io import BytesIO

import msgspec
from twisted.web.client import FileBodyProducer
from twisted.web.http_headers import Headers
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from cicadahoist.config import Config
from cicadahoist.entry.connection import BoundedSite
from cicadahoist.entry.context import EntryContext
from cicadahoist.entry.resource import EntryResource
from cicadahoist.ids import key_digest
from cicadahoist.metrics import Metrics
from cicadahoist.outside.engine import OpenAiHttpEngine
from cicadahoist.outside.http import HttpClient
from cicadahoist.outside.service import HttpService
from cicadahoist.settings import TARGET_TIMEOUT
from cicadahoist.standin.engine import Engine, EngineOptions
from cicadahoist.standin.engine_batch import EngineLimits
from cicadahoist.standin.engine_server import EngineServer
from cicadahoist.standin.memory import MemoryStore
from cicadahoist.standin.objects import ObjectModel
from cicadahoist.standin.service import ServiceServer
from cicadahoist.table import (
    KeyGrant,
    Route,
    RouteKind,
    Rule,
    Shard,
    Table,
    Target,
    Workspace,
)
from tests.memory_net import Answer, Endpoints, MemoryNet

KEY = 'key-of-tayside'
OTHER_KEY = 'key-of-pilbara'
CREDENTIAL = 'credential-of-engines'
ENGINE_LIMITS = EngineLimits(step_ms=10, token_budget=2048, max_running=64)


class CountingMetrics(Metrics):
    """Records the reasons that were counted, in order."""

    def __init__(self, provider) -> None:
        super().__init__(provider)
        self.counted_reasons = []

    __slots__ = ('counted_reasons',)

    def count_refusal(self, reason) -> None:
        super().count_refusal(reason)
        self.counted_reasons.append(reason)

    def count_retry(self, reason) -> None:
        super().count_retry(reason)
        self.counted_reasons.append(reason)


class Entry:
    """One entry of a world; also its table source and usage recorder."""

    def __init__(self, world, name, **settings) -> None:
        client = HttpClient.with_endpoints(
            Endpoints(world.net), world.net.reactor
        )
        config = Config.from_values(instance__name=name, **settings)
        self.metrics = CountingMetrics.unexposed()
        self.store = MemoryStore(world.objects, world.net.clock)
        self.context = EntryContext(
            config,
            world.net.clock,
            self.metrics,
            OpenAiHttpEngine(
                client, client, CREDENTIAL, config.read(TARGET_TIMEOUT), 1000
            ),
            HttpService(client),
            self.store,
        )
        self.usage = []
        self.context.billing.set_recorder(self)
        self.name = name
        resource = EntryResource(self.context, lambda: True)
        self.host = world.net.add_site(
            f'{name}:80',
            BoundedSite.from_config(
                config,
                resource.http_resource(),
                world.net.clock,
                self.metrics,
            ),
        )

        self._tick()

    def _tick(self) -> None:
        self.context.dispatcher.tick()
        self.context.isolation.tick()
        self.context.clock.call_later(1000, self._tick)

    async def record(self, count) -> None:
        self.usage.append(count)

    def table(self):
        return self._table

    def age_ms(self, now_ms) -> int:
        return 0

    def apply(self, table) -> None:
        self._table = table
        self.context.set_table_source(self)
        self.context.dispatcher.apply_table(table)


class World:
    """Entries and targets, with a table of two workspaces."""

    def __init__(self, engines=2, services=2, entries=1, **settings) -> None:
        self.net = MemoryNet()
        self.objects = ObjectModel(0)
        self.engines = {}
        self.services = {}
        self.targets = []
        for number in range(engines):
            self._add_engine(f'engine-{number}')
        for number in range(services):
            self._add_service(f'service-{number}')
        self.entries = [
            Entry(self, f'entry-{number}', **settings)
            for number in range(entries)
        ]
        self.agent = self.net.agent()
        for entry in self.entries:
            entry.context.isolation.set_broadcast(
                lambda message, sender=entry: self._notify(sender, message)
            )
        self.apply(self.rows())

    def rows(self, **rule_fields) -> Shard:
        """Return the rows of the table, with the given fields in all rules."""
        return Shard(
            workspaces=[Workspace(name='tayside'), Workspace(name='pilbara')],
            keys=[
                KeyGrant(digest=key_digest(KEY), workspace='tayside'),
                KeyGrant(digest=key_digest(OTHER_KEY), workspace='pilbara'),
            ],
            targets=self.targets,
            routes=[
                Route(name='demo-model', pool='models'),
                Route(name='once-model', pool='models', repeatable=False),
                Route(name='lookup', pool='services', kind=RouteKind.service),
                Route(
                    name='filing',
                    pool='services',
                    kind=RouteKind.service,
                    repeatable=False,
                ),
                Route(
                    name='public',
                    pool='services',
                    kind=RouteKind.service,
                    open_to_all=True,
                ),
            ],
            rules=[
                Rule(workspace='tayside', route=route, **rule_fields)
                for route in ('demo-model', 'once-model', 'lookup', 'filing')
            ],
        )

    def apply(self, rows, revision=1) -> None:
        for entry in self.entries:
            entry.apply(Table(revision, [rows]))

    def _notify(self, sender, message) -> None:
        for entry in self.entries:
            if entry is not sender:
                entry.context.isolation.apply_message(message)

    def send(
        self, method, path, body=b'', key=KEY, headers=None, entry=0
    ) -> Answer:
        sent = Headers({'Authorization': [f'Bearer {key}']} if key else {})
        for name, text in (headers or {}).items():
            sent.setRawHeaders(name, [text])
        answer = Answer()
        url = f'http://{self.entries[entry].name}:80{path}'
        calling = self.agent.request(
            method.encode(),
            url.encode(),
            sent,
            FileBodyProducer(BytesIO(body), cooperator=ImmediateCooperator()),
        )
        calling.addCallbacks(answer.take, answer.refuse)
        self.net.flush()
        return answer

    def chat(
        self,
        model='demo-model',
        tokens=20,
        stream=True,
        text='hello',
        **options,
    ):
        body = encode_chat_body(model, tokens, stream, text)
        return self.send('POST', '/v1/chat/completions', body, **options)

    def finish(self, answer) -> Answer:
        self.net.until(lambda: answer.is_over)
        return answer

    def kill(self, name) -> None:
        self.net.hosts[f'{name}:80'].kill()

    def _add_engine(self, name) -> None:
        options = EngineOptions(
            name=name,
            models=('demo-model', 'once-model'),
            fencing=True,
            role_change_ms=3000,
            limits=ENGINE_LIMITS,
        )
        engine = Engine(options, self.net.clock)
        server = EngineServer(engine, self.net.clock, self.net.reactor)
        server.faults.crash = lambda: self.kill(name)
        server._peers = HttpClient.with_endpoints(
            Endpoints(self.net), self.net.reactor
        )
        self.engines[name] = server
        self._add_target(name, server.app, RouteKind.model, 'models')

    def _add_service(self, name) -> None:
        server = ServiceServer(name, self.net.clock)
        server.crash = lambda: self.kill(name)
        self.services[name] = server
        self._add_target(name, server.app, RouteKind.service, 'services')

    def _add_target(self, name, app, kind, pool) -> None:
        self.net.add(f'{name}:80', app.resource())
        self.targets.append(
            Target(
                name=name,
                pool=pool,
                url=f'http://{name}:80',
                zone='zone-a',
                kind=kind,
            )
        )


class FixedEngine(Resource):
    """An engine that answers all requests with one status, or none with 0."""

    isLeaf = True

    def __init__(self, status) -> None:
        super().__init__()
        self._status = status
        self.seen_paths = []

    def render(self, request):
        self.seen_paths.append(request.path)
        if not self._status:
            return NOT_DONE_YET
        request.setResponseCode(self._status)
        return b''


class ImmediateCooperator:
    """Copies a body immediately."""

    def cooperate(self, iterator):
        for _ in iterator:
            continue
        return _Done()


class _Done:
    def whenDone(self):
        from twisted.internet.defer import succeed

        return succeed(None)

    def stop(self) -> None:
        """Do nothing, as the body is copied already."""


def encode_chat_body(model, tokens, stream, text) -> bytes:
    """Return the encoded body of a chat."""
    fields = {
        'model': model,
        'messages': [{'role': 'user', 'content': text}],
        'max_tokens': tokens,
        'stream': stream,
    }
    return msgspec.json.encode(fields)


def decode_events(answer) -> list:
    """Return the decoded events of a stream, with its end as text."""
    payloads = [
        line.removeprefix(b'data: ')
        for line in answer.body.split(b'\n\n')
        if line
    ]
    return [
        '[DONE]' if payload == b'[DONE]' else msgspec.json.decode(payload)
        for payload in payloads
    ]


def join_text(answer) -> str:
    """Return the text of a streamed chat."""
    chunks = [event for event in decode_events(answer) if event != '[DONE]']
    return ''.join(
        chunk['choices'][0]['delta'].get('content') or ''
        for chunk in chunks
        if chunk.get('choices')
    )


def decode_error(answer) -> dict:
    """Return the error in the body of a refused request."""
    return msgspec.json.decode(answer.body)['error']
