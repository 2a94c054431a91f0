import pytest

from cicadahoist.clock import Clock
from cicadahoist.errors import BusyError
from cicadahoist.outside.engine_messages import EngineOrder
from cicadahoist.standin.engine import Engine, EngineOptions
from cicadahoist.standin.engine_answers import CompletionBody
from cicadahoist.standin.engine_batch import EngineLimits
from cicadahoist.standin.engine_cache import PrefixCache
from cicadahoist.standin.engine_orders import OrderBook
from cicadahoist.standin.engine_weights import WeightLoader

STEP_MS = 10
TOKEN_BYTES = 4


@pytest.fixture
def clock():
    return Clock.manual()


class Caller:
    """Starts requests and notes in which order their tokens come."""

    def __init__(self, clock, **limits):
        self.clock = clock
        self.came = []
        limits.setdefault('step_ms', STEP_MS)
        self.engine = Engine(
            EngineOptions(limits=EngineLimits(**limits)), clock
        )

    def start(self, name, prompt='short', max_tokens=2, priority=5):
        body = CompletionBody(
            model='demo-model', prompt=prompt, max_tokens=max_tokens
        )
        return self.engine.start(body, name, priority, self.emit)

    def emit(self, job):
        self.came.append(job.attempt)

    def steps(self, count):
        for _ in range(count):
            self.clock.advance(STEP_MS)


def test_requests_share_each_step(clock):
    caller = Caller(clock)
    caller.start('a', max_tokens=3)
    caller.steps(1)
    caller.start('b', max_tokens=3)
    caller.steps(10)
    assert sorted(caller.came) == ['a'] * 3 + ['b'] * 3
    assert caller.came.index('b') < len(caller.came) - 1 - caller.came[
        ::-1
    ].index('a')
    assert caller.engine.read_state('a').state == 'finished'


def test_token_budget_bounds_a_step(clock):
    caller = Caller(clock, token_budget=3)
    for number in range(5):
        caller.start(f'{number}', prompt='x', max_tokens=50)
    caller.steps(10)
    before = len(caller.came)
    caller.steps(10)
    assert len(caller.came) - before == 30


def test_long_prompt_takes_steps_by_its_length(clock):
    caller = Caller(clock, token_budget=100)
    caller.start('a', prompt='x' * 100 * TOKEN_BYTES * 5, max_tokens=1)
    caller.steps(5)
    assert not caller.came
    caller.steps(1)
    assert caller.came == ['a']


def test_cached_prefix_needs_no_prefill(clock):
    caller = Caller(clock, token_budget=512)
    prompt = 'x' * 1024 * TOKEN_BYTES
    caller.start('a', prompt=prompt, max_tokens=1)
    caller.steps(4)
    before = caller.engine.prefilled_tokens
    caller.start('b', prompt=f'{prompt}and more', max_tokens=1)
    caller.steps(1)
    assert before == 1024
    assert caller.engine.prefilled_tokens - before == 2


def test_urgent_requests_overtake(clock):
    caller = Caller(clock, max_running=1)
    caller.start('running', max_tokens=3)
    caller.steps(1)
    caller.start('patient', priority=9)
    caller.start('urgent', priority=0)
    caller.steps(10)
    assert caller.came[3:] == ['urgent', 'urgent', 'patient', 'patient']


def test_kv_cache_bounds_the_batch(clock):
    caller = Caller(clock, kv_total=10)
    caller.start('a', prompt='x', max_tokens=6)
    caller.start('b', prompt='x', max_tokens=6)
    caller.steps(2)
    assert caller.engine.read_state('b').state == 'queued'
    caller.engine.cancel('a')
    caller.steps(1)
    assert caller.engine.read_state('b').state == 'running'


def test_load_report_lags(clock):
    caller = Caller(clock)
    caller.start('a', max_tokens=200)
    caller.steps(3)
    assert caller.engine.load().running == 0
    caller.steps(50)
    caller.engine.load()
    caller.steps(2)
    report = caller.engine.load()
    assert (report.running, report.age_ms) == (1, 2 * STEP_MS)


def test_role_change_takes_the_engine_away_and_cuts(clock):
    caller = Caller(clock)
    caller.start('a', max_tokens=200)
    caller.steps(2)
    cut = caller.engine.order(
        EngineOrder(epoch=1, seq=1, kind='role', argument='decode')
    )
    assert [job.attempt for job in cut] == ['a']
    assert caller.engine.cut_by_order == 1
    clock.advance(2999)
    assert caller.engine.orders.is_away
    clock.advance(1)
    assert not caller.engine.orders.changing
    assert not caller.engine.orders.is_away


class BusyWeights:
    """A weight store that refuses a number of calls."""

    def __init__(self, refusals):
        self.refusals = refusals
        self.fetched = []

    async def fetch(self, model, version):
        if self.refusals:
            self.refusals -= 1
            raise BusyError('busy', remedy='wait', retry_after_ms=2000)
        self.fetched.append((model, version))


@pytest.mark.parametrize('refusals', [0, 2])
def test_version_takes_effect_once_its_weights_are_there(clock, refusals):
    engine = Caller(clock).engine
    weights = BusyWeights(refusals)
    engine.fetch_weights = WeightLoader(weights, clock).fetch
    engine.order(EngineOrder(epoch=1, seq=1, kind='version', argument='m=7'))
    clock.advance(1000)
    for _ in range(refusals):
        clock.advance(1999)
        assert engine.orders.changing
        clock.advance(1)
    assert not engine.orders.changing
    assert engine.orders.versions['m'] == '7'
    assert weights.fetched == [('m', '7')]


def test_model_is_served_at_the_end_of_its_order(clock):
    engine = Caller(clock).engine
    engine.order(EngineOrder(epoch=1, seq=1, kind='model', argument='m'))
    clock.advance(999)
    assert engine.orders.changing
    assert 'm' not in engine.orders.models
    clock.advance(1)
    assert not engine.orders.changing
    assert 'm' in engine.orders.models


@pytest.mark.parametrize('fencing', [True, False])
def test_stale_orders_are_refused_only_by_engines_that_check(fencing):
    book = OrderBook([], fencing=fencing)
    newest = EngineOrder(epoch=2, seq=5, kind='model', argument='x')
    book.take(newest)
    assert book.is_repeated(newest)
    for epoch, seq in ((1, 9), (2, 4), (2, 5)):
        order = EngineOrder(epoch=epoch, seq=seq, kind='role', argument='y')
        assert not book.is_repeated(order)
        assert book.is_refused(order) == fencing
    assert not book.is_refused(EngineOrder(epoch=2, seq=6, kind='role'))
    assert book.counts.stale == 3
    assert book.counts.stale_run == (0 if fencing else 3)
    assert book.counts.differing == 1


def test_cache_events_are_late_and_have_gaps():
    cache = PrefixCache(capacity=4, lag_ms=300, gap=3)
    cache.store(['a', 'b', 'c', 'd'], 0)
    assert cache.events(0, 299).events == []
    found = cache.events(0, 300)
    assert [event.seq for event in found.events] == [1, 2, 4]
    cache.store(['e'], 1000)
    later = cache.events(found.next, 1300).events
    assert [(event.kind, event.block) for event in later] == [('stored', 'e')]
    assert cache.cached_tokens(['a']) == 0
    assert cache.cached_tokens(['b', 'x', 'c']) == 256
