"""Watches the prompt of one request: whether it is held, and how it runs."""

from cicadahoist.listings import Listing
from cicadahoist.policy.crash_containment import BegunRun
from cicadahoist.requests import AnswerHead, AnswerMeaning, ModelWork
from cicadahoist.serving.answers.endings import AnswerEnding
from cicadahoist.serving.attempt import AttemptEnd, AttemptOutcome, OnPieces
from cicadahoist.serving.attempt_results import is_broken_off
from cicadahoist.serving.context import ServingContext
from cicadahoist.serving.target_crashes import BEGUN_MS, LostRun


class PromptWatch:
    """
    Watches the parts of one prompt that other requests may share.

    :param context: shared parts of the data path
    :param workspace: workspace of the request
    :param work: the work, with the parts of the prompt
    """

    __slots__ = ('_context', '_has_lost_begun_run', '_run')

    def __init__(
        self, context: ServingContext, workspace: str, work: ModelWork
    ) -> None:
        self._context = context
        self._run = BegunRun(
            workspace, tuple(part.digest for part in work.shared_parts)
        )
        self._has_lost_begun_run = False
        context.fleet.part_watch.record_request(self._run.parts)

    @property
    def held_part(self) -> str | None:
        """Part for which the request must not be sent, none if it may be."""
        return self._context.fleet.part_watch.find_held_part(
            self._run.workspace, self._run.parts
        )

    @property
    def may_send_on(self) -> bool:
        """Whether the request may go to another engine after a lost run."""
        if not self._has_lost_begun_run:
            return True
        return not self._context.fleet.part_watch.is_suspect(self._run.parts)

    def start_run(self, listing: Listing) -> 'RunWatch':
        """Return the watch of a run of the request at an engine."""
        return RunWatch(self._context, self._run, listing)

    def record_end(self, run: 'RunWatch', end: AttemptEnd) -> None:
        """Record the end of a run that was sent."""
        if run.record_end(end):
            self._has_lost_begun_run = True


class RunWatch:
    """
    Watches one run, whose fate is evidence on the parts of its prompt.

    :param context: shared parts of the data path
    :param run: workspace and parts of the request
    :param listing: the engine
    """

    __slots__ = (
        '_begun_ms',
        '_context',
        '_is_sound',
        '_listing',
        '_run',
        '_started_ms',
    )

    def __init__(
        self, context: ServingContext, run: BegunRun, listing: Listing
    ) -> None:
        self._context = context
        self._run = run
        self._listing = listing
        self._started_ms = context.clock.now_ms()
        self._begun_ms: int | None = None
        self._is_sound = False

    def watch(self, on_pieces: OnPieces) -> OnPieces:
        """Return a function that watches the pieces that it passes on."""

        def watch_and_pass_on(head: AnswerHead, pieces: list[bytes]) -> None:
            if pieces:
                self._record_event()
            on_pieces(head, pieces)

        return watch_and_pass_on

    def record_end(self, end: AttemptEnd) -> bool:
        """
        Record the end of the run.

        :return: whether its target broke it off soon after its begin
        """
        head = end.head
        if end.outcome is AttemptOutcome.answered:
            if head is None or head.meaning is not AnswerMeaning.whole:
                return False
            if end.ending is AnswerEnding.stated:
                self._record_sound()
            else:
                # The engine may have crashed between two events.
                self._report_loss()
            return False
        return is_broken_off(end) and self._report_loss()

    def _report_loss(self) -> bool:
        lost = LostRun(self._run, self._begun_ms, self._context.clock.now_ms())
        fleet = self._context.fleet
        fleet.target_crashes.record_loss(fleet.connections, self._listing, lost)
        return lost.has_just_begun

    def _record_event(self) -> None:
        now_ms = self._context.clock.now_ms()
        if self._begun_ms is None:
            self._begun_ms = now_ms
        elif now_ms - self._begun_ms >= BEGUN_MS:
            self._record_sound()

    def _record_sound(self) -> None:
        if self._is_sound:
            return
        self._is_sound = True
        begun_ms = self._begun_ms
        if begun_ms is None:
            begun_ms = self._started_ms
        age_ms = self._context.clock.now_ms() - begun_ms
        self._context.fleet.part_watch.record_sound_run(
            self._run.parts, self._context.true_time.now_ms() - age_ms
        )
