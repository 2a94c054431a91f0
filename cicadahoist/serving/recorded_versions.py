"""What this instance knows of the recorded versions, and who waits for it."""

from collections.abc import Callable

from twisted.internet.defer import Deferred

from cicadahoist.clock import Clock
from cicadahoist.log import get_logger
from cicadahoist.policy.service_versions import ServiceVersions
from cicadahoist.policy.stream_versions.stream_terms import StreamTerms
from cicadahoist.policy.stream_versions.version_record import RecordCopy

logger = get_logger(__name__)


class RecordedVersions:
    """
    Listed and recorded versions of all services.

    :param clock: clock of the process
    """

    __slots__ = (
        '_clock',
        '_waiting',
        'on_awaited',
        'on_missing',
        'on_uncertain',
        'read_again',
        'relist_count',
        'versions',
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.versions = ServiceVersions()
        self._waiting: list[Deferred[bool]] = []
        # Called while versions are to be recorded.
        self.on_missing: Callable[[], None] = _ignore
        # Called when a request waits for that.
        self.on_awaited: Callable[[], None] = _ignore
        # Called with the services whose streams may differ since a change.
        self.on_uncertain: Callable[[set[str]], None] = _ignore
        # Reads the record from the store; returns whether that succeeded.
        self.read_again: Callable[[], Deferred[bool]] | None = None
        # Lists of targets after which changes may have been missed.
        self.relist_count = 0

    def require_records(self) -> None:
        """Let streams begin at recorded versions only."""
        self.versions.is_recording = True

    def observe(self, listed: list[tuple[str, str]]) -> None:
        """Record the services and versions of all listed targets."""
        before = self.versions.list_uncertain(self._clock.now_ms())
        self.versions.observe(listed, self._clock.now_ms())
        self._report(before)

    def apply_terms(self, terms: StreamTerms) -> None:
        """Apply the terms of streams of a new configuration."""
        self.versions.terms = self.versions.terms.follow(terms)
        self._report_missing()

    def apply_era(self, era: int) -> None:
        """Record the era of the store that an answer has shown."""
        before = self.versions.list_uncertain(self._clock.now_ms())
        if self.versions.apply_era(era):
            logger.bind(era=era).info('store has a new era; recording again')
            self._report(before)

    def apply_copy(self, copy: RecordCopy, *, may_lag: bool = False) -> None:
        """
        Apply the record as this or another instance read or wrote it.

        :param may_lag: whether it may be seconds old
        """
        now_ms = self._clock.now_ms()
        before = self.versions.list_uncertain(now_ms)
        if self.versions.apply_copy(copy, now_ms, may_lag=may_lag):
            self._report(before)

    def record_relist(self) -> None:
        """Record a whole list of targets: changes before it may be missed."""
        self.relist_count += 1

    def is_mixed(self, service: str) -> bool:
        """Return whether open streams of a service may differ in version."""
        return self.versions.is_mixed(service, self._clock.now_ms())

    def is_uncertain(self, service: str) -> bool:
        """Return whether streams of a service may differ, or it is unknown."""
        return self.versions.is_uncertain(service, self._clock.now_ms())

    def find_only(self, service: str) -> str | None:
        """Return the version of all open streams, none if they may differ."""
        return self.versions.find_only(service, self._clock.now_ms())

    async def wait_for_first(self, timeout_ms: float) -> None:
        """Wait until the record is known, as it is soon after the start."""
        due_ms = self._clock.now_ms() + timeout_ms
        while self.versions.copy is None and self._clock.now_ms() < due_ms:
            await self.wait_for_change(due_ms - self._clock.now_ms())

    async def wait_for_change(self, timeout_ms: float) -> bool:
        """
        Wait until the record changes.

        :return: whether it did within the time
        """
        changed: Deferred[bool] = Deferred()
        self._waiting.append(changed)
        timer = self._clock.call_later(timeout_ms, self._give_up, changed)
        self.on_awaited()
        has_changed = await changed
        if timer.active():
            timer.cancel()
        return has_changed

    def _give_up(self, changed: 'Deferred[bool]') -> None:
        if changed in self._waiting:
            self._waiting.remove(changed)
            changed.callback(False)

    def _report(self, uncertain_before: set[str]) -> None:
        """Report what has changed to all that depend on it."""
        now_ms = self._clock.now_ms()
        uncertain = self.versions.list_uncertain(now_ms) - uncertain_before
        if uncertain:
            self.on_uncertain(uncertain)
        waiting = self._waiting
        self._waiting = []
        for changed in waiting:
            changed.callback(True)
        self._report_missing()

    def _report_missing(self) -> None:
        if self.versions.list_missing():
            self.on_missing()


def _ignore(*news: object) -> None:
    """Do nothing: no task records versions."""
