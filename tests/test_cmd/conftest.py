import json

import pytest
from typer.testing import CliRunner

from cicadahoist.cmd.operator.app import app
from cicadahoist.cmd.operator.session import Session
from cicadahoist.config import Config
from cicadahoist.errors import StoreUnavailableError, VersionConflictError
from cicadahoist.outside.store import Stored
from tests.test_serving.fake_objects import FakeObjects


class MemoryStore:
    """In-memory store of versioned objects with hooks around each write."""

    def __init__(self):
        self.object_by_name = {}
        self.before_write = None
        self.after_write = None
        self.is_down = False

    async def read(self, name):
        self._check_up()
        return self.object_by_name.get(name)

    async def write(self, name, payload, expected):
        self._check_up()
        if self.before_write:
            await self.before_write(name)
        current = self.object_by_name.get(name)
        version = current.version if current else 0
        if version != expected:
            raise VersionConflictError(name, remedy='read again')
        self.object_by_name[name] = Stored(name, version + 1, payload)
        if self.after_write:
            self.after_write(name)
        return version + 1

    async def remove(self, name, expected):
        self._check_up()
        if self.object_by_name[name].version != expected:
            raise VersionConflictError(name, remedy='read again')
        self.object_by_name.pop(name)

    async def list_versions(self, prefix):
        self._check_up()
        return {
            name: stored.version
            for name, stored in self.object_by_name.items()
            if name.startswith(prefix)
        }

    def _check_up(self):
        if self.is_down:
            raise StoreUnavailableError('store is down', remedy='wait')


class Operator:
    """
    Runs commands of the operators' command line on one store.

    :param objects: replaces the platform's store, none for the client itself
    """

    def __init__(self, store, objects=None):
        self.store = store
        self.objects = objects

    def run(self, line, **options):
        return CliRunner().invoke(
            app,
            line if isinstance(line, list) else line.split(),
            obj=self._open_session,
            **options,
        )

    def _open_session(self):
        session = Session(self.store, Config.from_values())
        if self.objects is not None:
            session.open_objects = lambda address: self.objects
        return session

    def run_checked(self, line, **options):
        result = self.run(line, **options)
        assert result.exit_code == 0, result.output
        return result

    def read_json(self, line):
        return json.loads(self.run_checked(f'{line} --output json').stdout)


@pytest.fixture
def store():
    return MemoryStore()


@pytest.fixture
def operator(store):
    return Operator(store, FakeObjects())


@pytest.fixture
def bare_operator(store):
    return Operator(store)


@pytest.fixture
def deployed(operator):
    """Return an operator whose table holds a workspace and two routes."""
    operator.run_checked('workspace create tayside')
    operator.run_checked('model create ledger --pool engines')
    operator.run_checked(
        'route create filing --pool filing --kind service --unrepeatable'
    )
    return operator
