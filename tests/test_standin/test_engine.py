"""
The engine stand-in behaves like a real engine where the entry depends on it.

Tests of the entry and the control tasks rely on the stand-in for continuous
batching, prefix caching, lagging reports and fenced orders. They would pass
with a wrong product if the stand-in were more forgiving than an engine.
"""

import pytest

from cicadahoist.clock import Clock
from cicadahoist.errors import BusyError
from cicadahoist.outside.engine_messages import EngineOrder
from cicadahoist.standin.engine import Engine, EngineOptions
from cicadahoist.standin.engine_answers import CompletionBody
from cicadahoist.standin.engine_batch import EngineLimits
from cicadahoist.standin.engine_cache import PrefixCache
from cicadahoist.standin.engine_faults import EngineFaults
from cicadahoist.standin.engine_orders import OrderBook
from cicadahoist.standin.engine_weights import WeightLoader
from cicadahoist.standin.faults import NO_FAULT, Fault

STEP_MS = 10
TOKEN_BYTES = 4


@pytest.fixture
def clock():
    return Clock.manual()


class Caller:
    """Starts requests and records the order of their tokens."""

    def __init__(self, clock, **limits):
        self.clock = clock
        self.token_log = []
        limits.setdefault('step_ms', STEP_MS)
        self.engine = Engine(
            EngineOptions(limits=EngineLimits(**limits)), clock
        )

    def start(self, name, prompt='short', max_tokens=2, priority=5):
        body = CompletionBody(
            model='demo-model', prompt=prompt, max_tokens=max_tokens
        )
        return self.engine.start_job(body, name, priority, self.emit)

    def emit(self, job):
        self.token_log.append(job.attempt)

    def run_steps(self, count):
        for _ in range(count):
            self.clock.advance(STEP_MS)


def test_steps_interleave_the_running_requests(clock):
    caller = Caller(clock)
    caller.start('a', max_tokens=3)
    caller.run_steps(1)
    caller.start('b', max_tokens=3)
    caller.run_steps(10)
    assert sorted(caller.token_log) == ['a'] * 3 + ['b'] * 3
    assert caller.token_log.index('b') < len(
        caller.token_log
    ) - 1 - caller.token_log[::-1].index('a')
    assert caller.engine.read_state('a').state == 'finished'


def test_token_budget_limits_the_tokens_of_a_step(clock):
    caller = Caller(clock, token_budget=3)
    for number in range(5):
        caller.start(f'{number}', prompt='x', max_tokens=50)
    caller.run_steps(10)
    before = len(caller.token_log)
    caller.run_steps(10)
    assert len(caller.token_log) - before == 30


def test_prefill_of_a_long_prompt_takes_several_steps(clock):
    caller = Caller(clock, token_budget=100)
    caller.start('a', prompt='x' * 100 * TOKEN_BYTES * 5, max_tokens=1)
    caller.run_steps(5)
    assert not caller.token_log
    caller.run_steps(1)
    assert caller.token_log == ['a']


def test_cached_prefix_needs_no_prefill(clock):
    caller = Caller(clock, token_budget=512)
    prompt = 'x' * 1024 * TOKEN_BYTES
    caller.start('a', prompt=prompt, max_tokens=1)
    caller.run_steps(4)
    before = caller.engine.prefilled_tokens
    caller.start('b', prompt=f'{prompt}and more', max_tokens=1)
    caller.run_steps(1)
    assert before == 1024
    assert caller.engine.prefilled_tokens - before == 2


def test_queue_serves_urgent_requests_first(clock):
    caller = Caller(clock, max_running=1)
    caller.start('running', max_tokens=3)
    caller.run_steps(1)
    caller.start('patient', priority=9)
    caller.start('urgent', priority=0)
    caller.run_steps(10)
    assert caller.token_log[3:] == ['urgent', 'urgent', 'patient', 'patient']


def test_kv_cache_limits_the_running_batch(clock):
    caller = Caller(clock, kv_total=10)
    caller.start('a', prompt='x', max_tokens=6)
    caller.start('b', prompt='x', max_tokens=6)
    caller.run_steps(2)
    assert caller.engine.read_state('b').state == 'queued'
    caller.engine.cancel('a')
    caller.run_steps(1)
    assert caller.engine.read_state('b').state == 'running'


@pytest.mark.parametrize('steps_before', [0, 4])
def test_paused_engine_goes_on_where_it_stopped(clock, steps_before):
    caller = Caller(clock)
    faults = EngineFaults(caller.engine, clock)
    caller.start('a', max_tokens=6)
    caller.run_steps(steps_before)
    tokens_before = list(caller.token_log)
    faults.apply(Fault(kind='pause', delay_ms=100 * STEP_MS))
    caller.start('b', max_tokens=6)
    caller.run_steps(99)
    assert caller.token_log == tokens_before
    assert caller.engine.read_state('b').state == 'queued'
    caller.run_steps(2)
    assert len(caller.token_log) > len(tokens_before)
    caller.run_steps(10)
    assert sorted(caller.token_log) == ['a'] * 6 + ['b'] * 6


def test_pause_ends_with_all_faults_and_a_stall_never_ends_by_itself(clock):
    caller = Caller(clock)
    faults = EngineFaults(caller.engine, clock)
    caller.start('a')
    faults.apply(Fault(kind='stall'))
    caller.run_steps(1000)
    assert not caller.token_log
    faults.apply(Fault(kind='pause', delay_ms=100 * STEP_MS))
    faults.apply(NO_FAULT)
    caller.run_steps(4)
    assert caller.token_log == ['a', 'a']


def test_load_report_lags_behind_the_load(clock):
    caller = Caller(clock)
    caller.start('a', max_tokens=200)
    caller.run_steps(3)
    assert caller.engine.report_load().running == 0
    caller.run_steps(50)
    caller.engine.report_load()
    caller.run_steps(2)
    report = caller.engine.report_load()
    assert (report.running, report.age_ms) == (1, 2 * STEP_MS)


def test_role_change_aborts_requests_and_makes_the_engine_unavailable(clock):
    caller = Caller(clock)
    caller.start('a', max_tokens=200)
    caller.run_steps(2)
    cut = caller.engine.execute_order(
        EngineOrder(epoch=1, seq=1, kind='role', argument='decode')
    )
    assert [job.attempt for job in cut] == ['a']
    assert caller.engine.cut_job_count == 1
    clock.advance(2999)
    assert caller.engine.orders.is_unavailable
    clock.advance(1)
    assert not caller.engine.orders.is_changing
    assert not caller.engine.orders.is_unavailable


class BusyWeights:
    """Weight store that refuses its first ``refusals`` calls."""

    def __init__(self, refusals):
        self.refusals = refusals
        self.fetched = []

    async def fetch(self, model, version):
        if self.refusals:
            self.refusals -= 1
            raise BusyError('busy', remedy='wait', retry_after_ms=2000)
        self.fetched.append((model, version))


@pytest.mark.parametrize('refusals', [0, 2])
def test_version_takes_effect_once_its_weights_are_fetched(clock, refusals):
    engine = Caller(clock).engine
    weights = BusyWeights(refusals)
    engine.fetch_weights = WeightLoader(weights, clock).fetch
    engine.execute_order(
        EngineOrder(epoch=1, seq=1, kind='version', argument='m=7')
    )
    clock.advance(1000)
    for _ in range(refusals):
        clock.advance(1999)
        assert engine.orders.is_changing
        clock.advance(1)
    assert not engine.orders.is_changing
    assert engine.orders.versions['m'] == '7'
    assert weights.fetched == [('m', '7')]


def test_model_is_served_only_after_its_load_time(clock):
    engine = Caller(clock).engine
    engine.execute_order(
        EngineOrder(epoch=1, seq=1, kind='model', argument='m')
    )
    clock.advance(999)
    assert engine.orders.is_changing
    assert 'm' not in engine.orders.models
    clock.advance(1)
    assert not engine.orders.is_changing
    assert 'm' in engine.orders.models


@pytest.mark.parametrize('fencing', [True, False])
def test_stale_orders_are_refused_only_with_fencing(fencing):
    book = OrderBook([], fencing=fencing)
    newest = EngineOrder(epoch=2, seq=5, kind='model', argument='x')
    book.begin(newest)
    assert book.is_repeated(newest)
    for epoch, seq in ((1, 9), (2, 4), (2, 5)):
        order = EngineOrder(epoch=epoch, seq=seq, kind='role', argument='y')
        assert not book.is_repeated(order)
        assert book.refuses_stale(order) == fencing
    assert not book.refuses_stale(EngineOrder(epoch=2, seq=6, kind='role'))
    assert book.counts.stale == 3
    assert book.counts.stale_run == (0 if fencing else 3)
    assert book.counts.differing == 1


def test_cache_events_are_delayed_and_have_gaps():
    cache = PrefixCache(capacity=4, lag_ms=300, gap=3)
    cache.store(['a', 'b', 'c', 'd'], 0)
    assert cache.list_events(0, 299).events == []
    published = cache.list_events(0, 300)
    assert [event.seq for event in published.events] == [1, 2, 4]
    cache.store(['e'], 1000)
    later = cache.list_events(published.next, 1300).events
    assert [(event.kind, event.block) for event in later] == [('stored', 'e')]
    assert cache.count_cached_tokens(['a']) == 0
    assert cache.count_cached_tokens(['b', 'x', 'c']) == 256
