"""Instances that lose all targets, and how often callers are served there."""

from soak.promises import CONTACT_MS, Attempt
from soak.proxy import CUT_FAULTS

SERVED_RATIO = 2 / 3
MAX_FAILED_COUNT = 10
MAX_FAILED_SHARE = 1 / 50


class TryCounts:
    """First tries at some instances."""

    def __init__(self) -> None:
        self.sent = 0
        self.served = 0

    @property
    def served_share(self) -> float:
        return self.served / self.sent if self.sent else 0.0

    def __str__(self) -> str:
        return f'{self.served} of {self.sent}'


class Cut:
    """
    A cut of some instances from all targets.

    :param promises: checks how often callers are served meanwhile
    :param instances: names of the instances that are cut off
    :param fault: fault of their links
    """

    def __init__(self, promises, instances: list[str], fault: str) -> None:
        self.instances = instances
        self.fault = fault
        self.cut_off, self.others = TryCounts(), TryCounts()
        self._promises = promises
        self._judged_from_ms = promises.now_ms() + CONTACT_MS
        self._is_over = False
        self._tries: set[str] = set()

    def begin(self, targets) -> None:
        self._promises.cut_instances.update(self.instances)
        for target in targets:
            for instance in self.instances:
                target.links.cut(instance, self.fault)

    def heal(self, targets) -> None:
        self._is_over = True
        for instance in self.instances:
            self._promises.cut_instances.discard(instance)
            self._promises.record_disturbance(instance)
            self._promises.duties.record_heal(instance)
            for target in targets:
                target.links.heal(instance)

    def record_try(self, instance: str, attempt_id: str = '') -> None:
        """
        Record a first try.

        :param attempt_id: attempt that is sent, empty if its caller cannot
            connect
        """
        if not self._is_over and self._promises.now_ms() > self._judged_from_ms:
            self._find_counts(instance).sent += 1
            self._tries.add(attempt_id)

    def record_served(self, attempt: Attempt) -> None:
        if attempt.attempt_id in self._tries:
            self._find_counts(attempt.instance).served += 1

    def check(self) -> None:
        """Check first tries at cut-off instances against the others."""
        cut_off, others = self.cut_off, self.others
        max_failed = MAX_FAILED_COUNT + MAX_FAILED_SHARE * cut_off.sent
        if cut_off.sent - cut_off.served <= max_failed or not others.sent:
            return
        if cut_off.served_share < SERVED_RATIO * others.served_share:
            self._promises.report_breach('PARTITION', str(self))

    def __str__(self) -> str:
        return (
            f'{self.fault}: {self.instances} served {self.cut_off} first'
            f' tries, the others {self.others}'
        )

    def _find_counts(self, instance: str) -> TryCounts:
        return self.cut_off if instance in self.instances else self.others


def choose_cut(world) -> Cut:
    """Return a cut of one instance or of all but one."""
    names = [instance.name for instance in world.instances]
    world.rng.shuffle(names)
    count = 1 if world.rng.random() < 0.5 else max(1, len(names) - 1)
    return Cut(
        world.promises, sorted(names[:count]), world.rng.choice(CUT_FAULTS)
    )
