"""What callers and targets saw, and which promises were broken."""

from dataclasses import dataclass, field

# Bounds that the instances are told, and the soak checks.
REVOKE_MS = 5000
DRAIN_MS = 2000
GRACE_MS = 8000
CONTACT_MS = 3000
# Rules that bound times.
TIMED = frozenset(('CONFIG', 'DENIED', 'DRAIN', 'LOST', 'READY', 'RECOVER'))


@dataclass
class Asked:
    """One attempt of a caller."""

    attempt_id: str
    kind: str
    key: str
    workspace: str
    instance: str
    sent_ms: int
    runs: list[str] = field(default_factory=list)
    was_refused: bool = False


class Promises:
    """
    Judges what is seen on the sockets of callers, targets and platform.

    :param now_ms: reads the clock of the soak
    :param checks_times: whether bounds in time are judged too; on a machine
        that is busy with other work they tell nothing
    """

    def __init__(self, now_ms, *, checks_times: bool = True) -> None:
        self.now_ms = now_ms
        self._checks_times = checks_times
        self.broken: list[str] = []
        self.asked: dict[str, Asked] = {}
        self.withdrawn_ms: dict[str, int] = {}
        self.leaving_ms: dict[str, int] = {}
        # When an instance was last disturbed, by planned work or otherwise.
        self.disturbed_ms: dict[str, int] = {}
        self.outcomes: dict[str, int] = {}
        self._reports: dict[int, dict] = {}
        self._fences: dict[str, tuple[int, str]] = {}

    def ask(self, asked: Asked) -> None:
        self.asked[asked.attempt_id] = asked

    def breach(self, rule: str, text: str) -> None:
        if rule in TIMED and not self._checks_times:
            return
        self.broken.append(f'{self.now_ms()} {rule}: {text}')

    def disturb(self, instance: str) -> None:
        """Excuse bounds in time at an instance from now on for a while."""
        self.disturbed_ms[instance] = self.now_ms()

    def is_calm(self, instance: str, since_ms: int) -> bool:
        """Tell whether nothing has disturbed an instance since a time."""
        last_ms = max(
            self.disturbed_ms.get(instance, 0), self.disturbed_ms.get('', 0)
        )
        return last_ms < since_ms - CONTACT_MS

    def ran(self, attempt_id: str, target: str, headers: dict) -> None:
        """Judge a request that a target begins to run."""
        asked = self.asked.get(attempt_id)
        if asked is None:
            self.breach('UNASKED', f'{target} runs {attempt_id}')
            return
        asked.runs.append(target)
        if b'authorization' in headers:
            self.breach('UNASKED', f'{target} sees the key of {attempt_id}')
        workspace = headers.get(b'x-cicadahoist-tenant', b'').decode()
        if workspace != asked.workspace:
            self.breach('UNASKED', f'{attempt_id} runs for {workspace}')
        if asked.kind in {'submit', 'check'} and len(asked.runs) > 1:
            self.breach('TWICE', f'{attempt_id} at {asked.runs}')
        if asked.was_refused and asked.kind in {'submit', 'check'}:
            self.breach('REFUSED', f'{attempt_id} runs after its refusal')
        self._check_times(asked, target)

    def _check_times(self, asked: Asked, target: str) -> None:
        """Judge withdrawn keys and leaving targets."""
        withdrawn_ms = self.withdrawn_ms.get(asked.key)
        if withdrawn_ms is not None:
            late_ms = asked.sent_ms - withdrawn_ms
            if late_ms > REVOKE_MS:
                self.breach(
                    'CONFIG', f'{asked.attempt_id} runs {late_ms} ms late'
                )
        left_ms = self.leaving_ms.get(target)
        if left_ms is None or not self.is_calm(asked.instance, left_ms):
            return
        if self.now_ms() - left_ms > DRAIN_MS:
            self.breach(
                'DRAIN', f'{target} gets {asked.attempt_id} while it leaves'
            )

    def refused(self, asked: Asked, status: int) -> None:
        """Judge an answer that promises that the request has not run."""
        asked.was_refused = True
        if asked.runs and asked.kind in {'submit', 'check'}:
            self.breach('REFUSED', f'{asked.attempt_id}: {status} after a run')

    def ended(self, asked: Asked, outcome: str) -> None:
        """Count how an attempt ended."""
        name = f'{asked.kind} {outcome}'
        self.outcomes[name] = self.outcomes.get(name, 0) + 1

    def called(self, path: str, holder: str, fence: int, content) -> None:
        """Judge a call to the platform that one holder at a time may make."""
        if path == '/usage':
            subject = path
            window = content['window']
            known = self._reports.setdefault(window, content['counts'])
            if known != content['counts']:
                self.breach('ONE', f'window {window} is reported differently')
        else:
            subject = f'{path} {content["service"]} {content["zone"]}'
        self.fenced(subject, holder, fence)

    def fenced(self, subject: str, holder: str, fence: int) -> None:
        """Judge the fencing number of a holder."""
        newest, known = self._fences.get(subject, (0, holder))
        if fence < newest:
            self.breach('ONE', f'{subject}: {fence} of {holder} after {newest}')
        elif fence == newest and known != holder:
            self.breach('ONE', f'{subject}: {known} and {holder} with {fence}')
        else:
            self._fences[subject] = (fence, holder)
