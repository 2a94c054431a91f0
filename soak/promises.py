"""Checks of the promises of the program at its outside interfaces."""

from dataclasses import dataclass, field

from soak.duties import DutyChecker
from soak.stutters import Answer

# Bounds that the settings of the instances set and the soak checks.
REVOKE_MS = 5000
DRAIN_MS = 2000
GRACE_MS = 8000
# A disturbance excuses late reactions for this time.
CONTACT_MS = 3000
# A part of a prompt is known to crash engines after so many crashes.
PART_CRASH_COUNT = 5
MAX_LATE_PART_COUNT = 3
MIN_SOUND_COUNT = 20
MIN_BEGUN_SHARE = 0.5
# Rules that check a bound in time.
TIMED_RULES = frozenset(
    (
        'BUDGET',
        'CLOSED',
        'CONFIG',
        'DENIED',
        'DRAIN',
        'HELD',
        'LIMIT',
        'LOST',
        'PARTITION',
        'READY',
        'RECOVER',
    )
)


@dataclass
class Attempt:
    """
    Attempt that a caller sent.

    :param kind: route of the request
    :param key: API key of the request
    :param workspace: workspace that the key belongs to
    :param instance: instance that received the attempt
    :param runs: targets that ran the attempt
    :param was_refused: whether an answer promised that it had not run
    :param origin: attempt that brought the first event of a stream which this
        one takes up, none for a new stream
    :param events: attempt and number of the events that the caller has received
    :param crashing_part: part of the prompt that crashes engines, if any
    """

    attempt_id: str
    kind: str
    key: str
    workspace: str
    instance: str
    sent_ms: int
    runs: list[str] = field(default_factory=list)
    was_refused: bool = False
    origin: 'Attempt | None' = None
    events: list[tuple[str, int]] = field(default_factory=list)
    crashing_part: str = ''


class PromiseChecker:
    """
    Checks what callers, targets and platform observe on their sockets.

    :param now_ms: returns the time of the soak in ms
    :param checks_times: whether bounds in time are checked; on a machine that
        is busy with other work a breach proves nothing
    """

    def __init__(self, now_ms, *, checks_times: bool = True) -> None:
        self.now_ms = now_ms
        self._checks_times = checks_times
        self.breaches: list[str] = []
        self.attempt_by_id: dict[str, Attempt] = {}
        self._answer_by_seal: dict[str, Answer] = {}
        self.withdrawn_ms_by_key: dict[str, int] = {}
        self.leaving_ms_by_target: dict[str, int] = {}
        # Time of the last disturbance by instance; an empty name means all.
        self.disturbed_ms_by_instance: dict[str, int] = {}
        # Instances that are cut off from all targets now.
        self.cut_instances: set[str] = set()
        self.count_by_outcome: dict[str, int] = {}
        # Software versions of the targets that sent an event, by attempt and
        # number: an event that is lost on its way may be sent again.
        self.versions_by_event: dict[tuple[str, int], set[str]] = {}
        self.crashed_targets: set[str] = set()
        self._crash_times_by_part: dict[str, list[int]] = {}
        self._late_count_by_part: dict[str, int] = {}
        self._sound_prompts: list[Attempt] = []
        self.duties = DutyChecker(now_ms, self.report_breach, CONTACT_MS)

    def record_attempt(self, attempt: Attempt) -> None:
        self.attempt_by_id[attempt.attempt_id] = attempt

    def record_answer(self, answer: Answer) -> None:
        """Record a signed answer, which its target may still complete."""
        self._answer_by_seal[answer.seal] = answer

    def check_signed(
        self,
        attempt: Attempt,
        status: int,
        seal: str,
        body: bytes | None,
        *,
        is_whole: bool,
    ) -> None:
        """
        Check a signed answer against what its target sent.

        :param body: body that the caller received, none for a stream
        """
        answer = self._answer_by_seal.get(seal)
        is_own = answer is not None and (
            (answer.attempt_id, answer.status) == (attempt.attempt_id, status)
        )
        if is_own and body is not None:
            is_own = answer.body.startswith(body)
            if is_whole:
                is_own = answer.is_whole and body == answer.body
        if not is_own:
            sent = answer and (answer.attempt_id, answer.status, answer.body)
            self.report_breach(
                'MIXED',
                f'{attempt.attempt_id} ({attempt.kind}) at {attempt.instance}'
                f' gets {status} {body!r}, signed {seal} for {sent}',
            )

    def report_breach(self, rule: str, text: str) -> None:
        if rule in TIMED_RULES and not self._checks_times:
            return
        self.breaches.append(f'{self.now_ms()} {rule}: {text}')

    def check_versions(self, attempt: Attempt) -> None:
        """Check that one version can have sent all events of a stream."""
        received = attempt.origin.events if attempt.origin else []
        keys = received + attempt.events
        unsent = [key for key in keys if key not in self.versions_by_event]
        if unsent:
            self.report_breach('MIXED', f'{attempt.attempt_id}: {unsent}')
        versions = [
            self.versions_by_event[key] for key in keys if key not in unsent
        ]
        if versions and not set.intersection(*versions):
            self.report_breach('ORDER', f'{attempt.attempt_id}: {versions}')

    def record_disturbance(self, instance: str) -> None:
        """Excuse bounds in time at an instance for ``CONTACT_MS`` from now."""
        self.disturbed_ms_by_instance[instance] = self.now_ms()

    def is_undisturbed(self, instance: str, since_ms: int) -> bool:
        """
        Return whether an instance was undisturbed since a time.

        A disturbance less than ``CONTACT_MS`` before that time counts too.
        """
        if instance in self.cut_instances:
            return False
        last_ms = max(
            self.disturbed_ms_by_instance.get(instance, 0),
            self.disturbed_ms_by_instance.get('', 0),
        )
        return last_ms < since_ms - CONTACT_MS

    def check_run(self, attempt_id: str, target: str, headers: dict) -> None:
        """Check a request that a target begins to run."""
        attempt = self.attempt_by_id.get(attempt_id)
        if attempt is None:
            self.report_breach('UNASKED', f'{target} runs {attempt_id}')
            return
        attempt.runs.append(target)
        if b'authorization' in headers:
            self.report_breach(
                'UNASKED', f'{target} sees the key of {attempt_id}'
            )
        workspace = headers.get(b'x-cicadahoist-tenant', b'').decode()
        if workspace != attempt.workspace:
            self.report_breach('UNASKED', f'{attempt_id} runs for {workspace}')
        if attempt.kind in {'submit', 'check'} and len(attempt.runs) > 1:
            self.report_breach('TWICE', f'{attempt_id} at {attempt.runs}')
        if attempt.was_refused and attempt.kind in {'submit', 'check'}:
            self.report_breach(
                'REFUSED', f'{attempt_id} runs after its refusal'
            )
        self._check_times(attempt, target)

    def _check_times(self, attempt: Attempt, target: str) -> None:
        """Check for withdrawn keys and for draining targets."""
        withdrawn_ms = self.withdrawn_ms_by_key.get(attempt.key)
        if withdrawn_ms is not None:
            late_ms = attempt.sent_ms - withdrawn_ms
            if late_ms > REVOKE_MS:
                self.report_breach(
                    'CONFIG', f'{attempt.attempt_id} runs {late_ms} ms late'
                )
        leaving_ms = self.leaving_ms_by_target.get(target)
        if leaving_ms is None or not self.is_undisturbed(
            attempt.instance, leaving_ms
        ):
            return
        if self.now_ms() - leaving_ms > DRAIN_MS:
            self.report_breach(
                'DRAIN', f'{target} gets {attempt.attempt_id} while it leaves'
            )

    def check_refusal(self, attempt: Attempt, status: int) -> None:
        """Check an answer that promises that the request has not run."""
        attempt.was_refused = True
        if attempt.runs and attempt.kind in {'submit', 'check'}:
            self.report_breach(
                'REFUSED', f'{attempt.attempt_id}: {status} after a run'
            )

    def check_cut(self, attempt: Attempt) -> None:
        """Check an answer that broke off long before its deadline."""
        ended = self.crashed_targets | self.leaving_ms_by_target.keys()
        if self._may_be_cut(attempt):
            return
        if attempt.runs and ended.isdisjoint(attempt.runs):
            if self.is_undisturbed(attempt.instance, attempt.sent_ms):
                waited_ms = self.now_ms() - attempt.sent_ms
                self.report_breach(
                    'CUT',
                    f'{attempt.attempt_id} ({attempt.kind}) after {waited_ms}'
                    f' ms at {attempt.instance}, run by {attempt.runs}',
                )

    def check_lost(self, attempt: Attempt, what: str) -> None:
        """
        Check a request that ends without an answer.

        :param what: what is known of the request
        """
        if self._may_be_cut(attempt):
            return
        if self.is_undisturbed(attempt.instance, attempt.sent_ms):
            waited_ms = self.now_ms() - attempt.sent_ms
            self.report_breach(
                'LOST',
                f'{attempt.attempt_id} ({attempt.kind}) at {attempt.instance}'
                f' after {waited_ms} ms, {what}, run by {attempt.runs}',
            )

    def _may_be_cut(self, attempt: Attempt) -> bool:
        """Return whether a target gave an answer whose end cannot be told."""
        return any(
            answer.attempt_id == attempt.attempt_id and answer.may_be_cut
            for answer in self._answer_by_seal.values()
        )

    def check_limit(
        self,
        rule: str,
        instance: str,
        limit: str,
        used: float,
        promised: float,
    ) -> None:
        """
        Check a caller that was closed (CLOSED) or refused (LIMIT) by a limit.

        :param used: how much of the limit the caller had used
        :param promised: how much of it the caller might use
        """
        if used < promised and self.is_undisturbed(instance, self.now_ms()):
            self.report_breach(
                rule,
                f'{instance}: {limit}, {used:.0f} of {promised:.0f} used',
            )

    def record_part_crash(self, part: str) -> None:
        """Record the crash of an engine under a part of a prompt."""
        self._crash_times_by_part.setdefault(part, []).append(self.now_ms())

    def check_crashing_part(self, attempt_id: str) -> str:
        """Check a request that reaches a target; return its crashing part."""
        attempt = self.attempt_by_id.get(attempt_id)
        if attempt is None or not attempt.crashing_part:
            return ''
        part = attempt.crashing_part
        if self._is_part_known(part, attempt, CONTACT_MS):
            count = self._late_count_by_part.get(part, 0) + 1
            self._late_count_by_part[part] = count
            if count == MAX_LATE_PART_COUNT + 1:
                self.report_breach(
                    'BUDGET', f'{attempt_id} reaches a target with {part}'
                )
        return part

    def record_sound_prompt(self, attempt: Attempt, part: str) -> None:
        """Record a prompt without the part that crashes engines."""
        if self._is_part_known(part, attempt, 2 * CONTACT_MS):
            self._sound_prompts.append(attempt)

    def check_sound_prompts(self) -> None:
        """Check that prompts are served although others crash engines."""
        begun = [attempt for attempt in self._sound_prompts if attempt.runs]
        count = len(self._sound_prompts)
        if count >= MIN_SOUND_COUNT and len(begun) < MIN_BEGUN_SHARE * count:
            self.report_breach('HELD', f'{len(begun)} of {count} prompts run')

    def _is_part_known(
        self, part: str, attempt: Attempt, after_ms: int
    ) -> bool:
        """Return whether a part was known when an attempt was sent."""
        crash_times = self._crash_times_by_part.get(part, [])
        if len(crash_times) < PART_CRASH_COUNT:
            return False
        known_ms = crash_times[PART_CRASH_COUNT - 1] + after_ms
        return attempt.sent_ms > known_ms and self.is_undisturbed(
            attempt.instance, attempt.sent_ms
        )

    def count_outcome(self, attempt: Attempt, outcome: str) -> None:
        """Count the outcome of an attempt by its kind."""
        name = f'{attempt.kind} {outcome}'
        self.count_by_outcome[name] = self.count_by_outcome.get(name, 0) + 1

    def check_platform_call(
        self, path: str, holder: str, fence: int, content
    ) -> None:
        """Check a call that only one holder at a time may make."""
        if path == '/usage':
            self.duties.check_usage(
                holder, fence, content['window'], content['counts']
            )
        else:
            self.duties.check_scaling(
                holder, fence, content['service'], content['zone']
            )
