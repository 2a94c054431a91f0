"""
Limits how many targets a request body can crash.

When a target breaks off an attempt, the entry probes it. If it has crashed,
the bodies that ran there become suspects. Suspects run on separate targets; a
body that is found to cause crashes is quarantined: every entry refuses it for
a time.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from cicadahoist.clock import Clock
from cicadahoist.entry.open_requests import OpenRequest, OpenRequests
from cicadahoist.entry.refusal import RequestRefusedError
from cicadahoist.errors import TargetDownError, TargetError
from cicadahoist.outside.engine import EngineAdapter
from cicadahoist.outside.service import ServiceAdapter
from cicadahoist.policy.quarantine import Quarantine
from cicadahoist.reasons import Refusal
from cicadahoist.table import RouteKind, Target

ABSENT_STATE = 'absent'
CLAIM_RETRY_MS = 500


class Isolation:
    """
    Applies the quarantine policy to the requests of one entry.

    :param clock: clock of the process
    :param name: name of this instance
    :param open_requests: all open requests
    :param engines: adapter for engines
    :param plain_services: adapter for plain services
    """

    __slots__ = (
        '_broadcast',
        '_clock',
        '_engines',
        '_open_requests',
        '_plain_services',
        '_probed_targets',
        '_quarantine',
    )

    def __init__(
        self,
        clock: Clock,
        name: str,
        open_requests: OpenRequests,
        engines: EngineAdapter,
        plain_services: ServiceAdapter,
    ) -> None:
        self._clock = clock
        self._open_requests = open_requests
        self._engines = engines
        self._plain_services = plain_services
        self._quarantine = Quarantine(name)
        self._probed_targets: set[str] = set()
        self._broadcast: Callable[[Any], None] | None = None

    def set_broadcast(self, broadcast: Callable[[Any], None]) -> None:
        """Set the function that sends a message to all peers."""
        self._broadcast = broadcast

    def apply_message(self, message: Any) -> None:
        """Apply a message of a peer to the quarantine state."""
        self._quarantine.apply(message, self._clock.now_ms())

    def tick(self) -> None:
        """Advance the quarantine policy and announce new quarantines."""
        for quarantined in self._quarantine.tick(self._clock.now_ms()):
            self._send(quarantined)

    def check_quarantine(self, digest: str) -> None:
        """
        Refuse a body that is in quarantine.

        :raises RequestRefusedError: the body is quarantined
        """
        refusal_ms = self._quarantine.compute_refusal_ms(
            digest, self._clock.now_ms()
        )
        if refusal_ms:
            raise RequestRefusedError(
                Refusal.quarantined,
                'targets crashed while they ran this body',
                retry_after_ms=refusal_ms,
            )

    def find_excluded_targets(self, digest: str) -> frozenset[str]:
        """Return the targets on which a body may not run now."""
        return self._quarantine.find_excluded_targets(
            digest, self._clock.now_ms()
        )

    def is_suspect(self, digest: str) -> bool:
        """Return whether a body must run on a target without other suspects."""
        return self._quarantine.is_suspect(digest)

    def find_blamed_targets(self, digest: str) -> frozenset[str]:
        """Return the targets that crashed while they ran a body."""
        return self._quarantine.find_blamed_targets(digest)

    def find_claimed_targets(self) -> frozenset[str]:
        """Return the targets that are reserved for suspects."""
        return self._quarantine.find_claimed_targets()

    async def reserve(self, request: OpenRequest, target: str) -> bool:
        """
        Reserve a target if the body is a suspect.

        :return: whether the request may start on the target; false if
            another suspect holds the target or the same body runs elsewhere
        :raises RequestRefusedError: the body was quarantined during the wait
        """
        digest = request.digest
        if not self._quarantine.is_suspect(digest):
            return True
        now_ms = self._clock.now_ms()
        claim = self._quarantine.claim(digest, target, now_ms)
        if claim is None:
            await request.pause(self._clock, CLAIM_RETRY_MS)
            return False
        request.has_target_claim = True
        self._send(claim)
        wait_ms = self._quarantine.compute_claim_wait_ms(digest, now_ms)
        while wait_ms and not request.is_over:
            await request.pause(self._clock, wait_ms)
            wait_ms = self._quarantine.compute_claim_wait_ms(
                digest, self._clock.now_ms()
            )
        self.check_quarantine(digest)
        if self._quarantine.may_start(digest, self._clock.now_ms()):
            return True
        self.release(request, is_complete=False)
        return False

    def release(self, request: OpenRequest, *, is_complete: bool) -> None:
        """
        End the target reservation of a request, if it has one.

        :param is_complete: whether the request ran to its end
        """
        if not request.has_target_claim:
            return
        request.has_target_claim = False
        ended = self._quarantine.release(
            request.digest, self._clock.now_ms(), is_complete=is_complete
        )
        if ended is not None:
            self._send(ended)

    def investigate_crash(
        self, target: Target, attempt: str, *, is_known: bool
    ) -> None:
        """
        Probe a target that broke off an attempt, once at a time.

        :param is_known: whether the target had read the attempt, so that it has
            restarted if it does not know it any more
        """
        if target.name in self._probed_targets:
            return
        self._probed_targets.add(target.name)
        digests = self._open_requests.list_digests_on(target.name)
        probing = Deferred.fromCoroutine(
            self._probe(target, attempt, is_known=is_known)
        )
        probing.addCallback(self._handle_probe_result, target.name, digests)

    async def _probe(
        self, target: Target, attempt: str, *, is_known: bool
    ) -> bool:
        """Return whether a target crashed, even if it has restarted since."""
        try:
            if target.kind is RouteKind.service:
                await self._plain_services.probe(target)
                return False
            attempt_state = await self._engines.fetch_attempt_state(
                target, attempt
            )
        except TargetDownError:
            return True
        except TargetError:
            return False
        return is_known and attempt_state.state == ABSENT_STATE

    def _handle_probe_result(
        self, has_crashed: bool, target: str, digests: list[str]
    ) -> None:
        self._probed_targets.discard(target)
        if not has_crashed:
            return
        now_ms = self._clock.now_ms()
        for blame in self._quarantine.record_target_crash(
            target, digests, now_ms
        ):
            self._send(blame)

    def _send(self, message: Any) -> None:
        if self._broadcast is not None:
            self._broadcast(message)
