"""Checks that one instance at a time carries out the duties (ONE)."""

from collections import Counter

# Bound that the settings of the instances set.
LEASE_MS = 3000
# Calls that a frozen sender or a link held back may arrive this long after it.
THAW_MS = 300


class _Subject:
    """Calls for one subject of a duty."""

    def __init__(self) -> None:
        self.newest = 0
        self.holder_by_token: dict[int, str] = {}
        self.called_ms_by_holder: dict[str, int] = {}
        self.last_holder = ''


class DutyChecker:
    """
    Checks the calls of duty holders.

    Subjects are usage, the targets of a service in a zone, and each engine
    process. The name of a holder stands for its machine: settings give each
    instance a name of its own.

    :param now_ms: returns the time of the soak in ms
    :param report_breach: called with a rule and a text
    :param contact_ms: turns do not count for this long after a disruption
    """

    def __init__(self, now_ms, report_breach, contact_ms: int) -> None:
        self._now_ms = now_ms
        self._report_breach = report_breach
        self._contact_ms = contact_ms
        self._subject_by_name: dict[str, _Subject] = {}
        self._counts_by_window: dict[int, dict] = {}
        self._healed_ms_by_name: dict[str, int] = {}
        self._disruption_count = 0
        self._disrupted_until_ms = 0
        self.last_holder = ''
        self.count_by_duty: Counter[str] = Counter()
        self.tokens: set[int] = set()

    def record_heal(self, name: str) -> None:
        """Record that an instance runs again, or that a link is whole again."""
        self._healed_ms_by_name[name] = self._now_ms()

    def begin_disruption(self) -> None:
        """Record a disruption of the platform."""
        self._disruption_count += 1

    def end_disruption(self) -> None:
        """Record the end of a disruption of the platform."""
        self._disruption_count -= 1
        self._disrupted_until_ms = self._now_ms() + self._contact_ms

    def check_usage(
        self, holder: str, token: int, window: int, counts: dict[str, int]
    ) -> None:
        """Check a usage report."""
        known = self._counts_by_window.setdefault(window, counts)
        if known != counts:
            self._report(f'window {window}: {counts} of {holder} after {known}')
        self._check('usage', 'usage', holder, token)

    def check_scaling(
        self, holder: str, token: int, service: str, zone: str
    ) -> None:
        """Check an order of targets."""
        self._check('scaling', f'{service} in {zone}', holder, token)

    def check_order(self, holder: str, token: int, engine: str) -> None:
        """Check an order to an engine process."""
        self._check('orders', engine, holder, token)

    def _check(self, duty: str, name: str, holder: str, token: int) -> None:
        self.last_holder = holder
        self.count_by_duty[duty] += 1
        self.tokens.add(token)
        subject = self._subject_by_name.setdefault(name, _Subject())
        first = subject.holder_by_token.setdefault(token, holder)
        if first != holder:
            self._report(f'{name}: token {token} of {first} and {holder}')
        if self._is_healed(holder) or self._is_healed(name):
            return
        if token < subject.newest:
            self._report(
                f'{name}: token {token} of {holder} after {subject.newest}'
            )
        subject.newest = max(token, subject.newest)
        if not self._is_disrupted():
            self._check_turns(name, subject, holder)

    def _check_turns(self, name: str, subject: _Subject, holder: str) -> None:
        now_ms = self._now_ms()
        called_ms = subject.called_ms_by_holder.get(holder)
        between = subject.last_holder
        if called_ms is not None and between != holder:
            if now_ms - called_ms <= LEASE_MS:
                self._report(
                    f'{name}: {holder}, {between}, {holder} within'
                    f' {now_ms - called_ms} ms'
                )
        subject.called_ms_by_holder[holder] = now_ms
        subject.last_holder = holder

    def _is_healed(self, name: str) -> bool:
        healed_ms = self._healed_ms_by_name.get(name)
        return healed_ms is not None and self._now_ms() <= healed_ms + THAW_MS

    def _is_disrupted(self) -> bool:
        is_recent = self._now_ms() < self._disrupted_until_ms
        return self._disruption_count > 0 or is_recent

    def _report(self, text: str) -> None:
        state = ' (platform disrupted)' if self._is_disrupted() else ''
        self._report_breach('ONE', f'{text}{state}')
