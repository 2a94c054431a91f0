"""Fixture: one deployment of separate processes, shared by this package."""

import pytest

from bench.deployment import Deployment


@pytest.fixture(scope='package')
def deployment():
    with Deployment(engines=2, services=1) as started:
        started.start()
        started.create_demo_rows()
        started.run_operator(
            *('route', 'create', 'lookup', '--pool', 'services'),
            *('--kind', 'service'),
        )
        started.run_operator('table', 'set', 'demo', 'lookup')
        yield started
