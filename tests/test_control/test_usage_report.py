"""Tests that a billing window is sealed once and always reported alike."""

import pytest

from cicadahoist.clock import Clock
from cicadahoist.control.figure_calls import FigureCalls
from cicadahoist.control.usage_report import SEAL_TIMEOUT_MS, UsageReporter
from cicadahoist.control.usage_sources import UsageSources
from cicadahoist.errors import LostAfterSendError, UsageConflictError
from cicadahoist.mesh.usage_record import (
    UsageRecord,
    encode_record,
    make_record_name,
)
from cicadahoist.protocol.records import LeaseRecord
from cicadahoist.protocol.usage_figures import SourceTotals, UsageTotal
from cicadahoist.standin.memory import MemoryStore
from cicadahoist.standin.objects import ObjectModel
from tests.test_control.entries import Entries
from tests.test_mesh.cluster import run

WINDOW_MS = 60_000
STEP_MS = 200
SEALED_MS = 15_000


class Intake:
    """Usage intake of the platform; refuses different figures of a window."""

    def __init__(self) -> None:
        self.figures: dict[tuple[str, int], tuple] = {}
        self.calls: list[tuple] = []
        self.lose_next = 0

    async def report(self, workspace, window, usage):
        figures = (
            usage.prompt_tokens,
            usage.output_tokens,
            usage.requests,
            usage.adjustments,
        )
        self.calls.append((usage.epoch, workspace, window, *figures))
        known = self.figures.setdefault((workspace, window), figures)
        if known != figures:
            raise UsageConflictError('differs', remedy='compare')
        if self.lose_next:
            self.lose_next -= 1
            raise LostAfterSendError('lost', remedy='report again')


class Reporters:
    """Control processes that hold the usage lease in turn."""

    def __init__(self) -> None:
        self.clock = Clock.manual()
        self.model = ObjectModel()
        self.intake = Intake()
        self.entries = Entries(self.clock, ['a0', 'a1'])
        self.epoch = 0
        self.holds = True
        self.end_ms = 1 << 40
        self.reporter = self.take_over()

    def take_over(self) -> UsageReporter:
        self.epoch += 1
        store = MemoryStore(self.model, self.clock)
        self.store = store
        reporter = UsageReporter(
            UsageSources(store),
            FigureCalls(store, self.intake),
            self.entries.link,
            self.clock,
            WINDOW_MS,
            self.clock.now_ms,
        )
        reporter.set_lease_check(
            lambda now_ms: self.holds and now_ms < self.end_ms
        )
        reporter.begin_term(LeaseRecord(epoch=self.epoch))
        self.reporter = reporter
        return reporter

    def count(self, entry, window, requests, *, closed=True) -> None:
        """Store the totals of an entry for a window."""
        source = f'{entry}/{self.entries.by_name[entry].incarnation}'
        totals = SourceTotals(
            source=source,
            window=window,
            closed=closed,
            by_workspace={'w': UsageTotal(10 * requests, requests, requests)},
        )
        name = make_record_name(window, source)
        known = self.model.get(name)
        run(
            self.store.write(
                name,
                encode_record(UsageRecord(totals=totals, through=requests)),
                known.version if known else 0,
            )
        )

    def advance(self, time_ms: int) -> None:
        for _ in range(0, time_ms, STEP_MS):
            self.clock.advance(STEP_MS)
            self.entries.report()
            self.reporter.tick(self.clock.now_ms())


@pytest.fixture
def reporters() -> Reporters:
    return Reporters()


def test_window_is_reported_once_all_entries_closed_it(reporters):
    reporters.count('a0', 0, 3)
    reporters.advance(WINDOW_MS + SEALED_MS)
    assert reporters.intake.calls == []
    reporters.count('a1', 0, 2)
    reporters.advance(2000)
    assert reporters.intake.calls == [(1, 'w', 0, 50, 5, 5, 0)]


def test_silent_entry_delays_the_report_until_the_timeout(reporters):
    reporters.count('a0', 0, 3)
    reporters.advance(WINDOW_MS + SEAL_TIMEOUT_MS + 2000)
    assert reporters.intake.figures['w', 0] == (30, 3, 3, 0)


def test_late_counts_adjust_the_next_window(reporters):
    reporters.count('a0', 0, 3)
    reporters.count('a1', 0, 0)
    reporters.advance(WINDOW_MS + SEALED_MS)
    reporters.count('a1', 0, 2)
    reporters.count('a0', 1, 1)
    reporters.count('a1', 1, 0)
    reporters.advance(WINDOW_MS)
    assert reporters.intake.figures == {
        ('w', 0): (30, 3, 3, 0),
        ('w', 1): (10, 1, 1, 22),
    }


def test_successor_reports_the_same_figures(reporters):
    reporters.count('a0', 0, 3)
    reporters.count('a1', 0, 2)
    reporters.intake.lose_next = 1
    reporters.advance(WINDOW_MS + 10_400)
    first = reporters.intake.calls[0]
    reporters.holds = False
    reporters.reporter.end_term()
    reporters.count('a1', 0, 4)
    reporters.holds = True
    reporters.take_over()
    reporters.advance(5000)
    assert reporters.intake.calls[-1] == (2, *first[1:])
    assert len(reporters.intake.calls) > 1


def test_lost_answer_of_the_intake_is_reported_again(reporters):
    reporters.count('a0', 0, 3)
    reporters.count('a1', 0, 2)
    reporters.intake.lose_next = 2
    reporters.advance(WINDOW_MS + SEALED_MS + 3000)
    assert len(reporters.intake.calls) == 3
    assert len(set(reporters.intake.calls)) == 1


def test_lost_answer_of_the_store_seals_once(reporters):
    reporters.count('a0', 0, 3)
    reporters.count('a1', 0, 2)
    reporters.model.faults.lose_next = 1
    reporters.advance(WINDOW_MS + SEALED_MS + 3000)
    assert reporters.intake.figures == {('w', 0): (50, 5, 5, 0)}


def test_nothing_is_reported_without_the_lease(reporters):
    reporters.count('a0', 0, 3)
    reporters.count('a1', 0, 2)
    reporters.holds = False
    reporters.advance(WINDOW_MS + SEALED_MS)
    assert reporters.intake.calls == []
    assert not reporters.model.list_versions('usage/figures')


def test_lease_that_ends_while_the_store_answers_allows_no_report(reporters):
    reporters.count('a0', 0, 3)
    reporters.count('a1', 0, 2)
    reporters.advance(WINDOW_MS + 9800)
    reporters.model.faults.delay_ms = 300
    reporters.end_ms = reporters.clock.now_ms() + 700
    reporters.advance(5000)
    assert reporters.intake.calls == []


def test_entry_that_started_later_does_not_delay_a_window(reporters):
    reporters.count('a0', 0, 3)
    reporters.count('a1', 1, 0, closed=False)
    reporters.advance(WINDOW_MS + SEALED_MS)
    assert reporters.intake.figures == {('w', 0): (30, 3, 3, 0)}


def test_entry_suspended_throughout_a_window_does_not_delay_it(reporters):
    for window in (0, 2):
        reporters.count('a1', window, 1)
    for window in (0, 1, 2):
        reporters.count('a0', window, 3)
    reporters.advance(3 * WINDOW_MS + SEALED_MS)
    assert reporters.intake.figures['w', 1] == (30, 3, 3, 0)
    assert reporters.intake.figures['w', 2] == (40, 4, 4, 0)


def test_store_outage_delays_the_report(reporters):
    reporters.count('a0', 0, 3)
    reporters.count('a1', 0, 2)
    reporters.model.faults.outage = True
    reporters.advance(WINDOW_MS + SEALED_MS)
    assert reporters.intake.calls == []
    reporters.model.faults.outage = False
    reporters.advance(3000)
    assert reporters.intake.figures == {('w', 0): (50, 5, 5, 0)}


def test_old_records_are_removed(reporters):
    reporters.count('a0', 0, 1)
    reporters.count('a1', 0, 1)
    reporters.advance(WINDOW_MS + SEALED_MS)
    for window in range(1, 64):
        reporters.count('a0', window, 1)
        reporters.count('a1', window, 1)
        reporters.advance(WINDOW_MS)
    assert not reporters.model.list_versions('usage/0/')
    assert reporters.model.list_versions('usage/60/')
