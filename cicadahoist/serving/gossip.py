"""State that the instances of a deployment exchange by datagrams."""

from collections.abc import Callable
from typing import Any

from cicadahoist.log import get_logger
from cicadahoist.policy.crash_containment import (
    Blame,
    CrashBlame,
    CrashEvidence,
    CrashReport,
    HeldParts,
    PartHold,
    SoundPart,
)
from cicadahoist.policy.fleet_size import FleetSize
from cicadahoist.requests import PromptPart
from cicadahoist.serving.relay_peers import RelayPeers
from cicadahoist.serving.usage_copies import UsageCopies
from cicadahoist.settings import LARGE_FLEET, LOAD_DIGESTS

logger = get_logger(__name__)


class Gossip:
    """
    State received from peers, and callbacks for what is to be sent to them.

    The task that sends to the peers sets the callbacks; without it, nothing is
    sent.
    """

    __slots__ = (
        '_digest_size',
        '_fleet_size',
        'blames',
        'crash_evidence',
        'held_parts',
        'holds_duties',
        'is_cut_off',
        'on_blame',
        'on_crash',
        'on_hold',
        'on_prefill_started',
        'on_sound_part',
        'relays',
        'usage_copies',
    )

    def __init__(self) -> None:
        self.blames = CrashBlame()
        self.crash_evidence = CrashEvidence()
        self.held_parts = HeldParts()
        self.usage_copies = UsageCopies()
        self.relays = RelayPeers()
        self._digest_size = FleetSize(LOAD_DIGESTS.default)
        self._fleet_size = FleetSize(LARGE_FLEET.default)
        # Called with each blame that this instance has found.
        self.on_blame: Callable[[Blame], None] = _ignore
        # Called with each hold that this instance has decided.
        self.on_hold: Callable[[PartHold], None] = _ignore
        # Called with each crash of an engine that this instance has seen.
        self.on_crash: Callable[[CrashReport], None] = _ignore
        # Called with each part that runs here have cleared of a suspicion.
        self.on_sound_part: Callable[[SoundPart], None] = _ignore
        # Called with the engine and the prompt of each prefill that starts.
        self.on_prefill_started: Callable[
            [str, tuple[PromptPart, ...]], None
        ] = _ignore
        # Returns whether this instance holds the lease of the duties.
        self.holds_duties: Callable[[], bool] = bool
        # Returns whether this instance reaches no target itself.
        self.is_cut_off: Callable[[], bool] = bool

    @property
    def is_large_fleet(self) -> bool:
        """Whether the deployment has many instances."""
        return self._fleet_size.is_large

    def set_large_from(self, instance_count: int) -> None:
        """Set the number of instances from which a fleet counts as large."""
        self._fleet_size = FleetSize(instance_count)

    @property
    def uses_load_digests(self) -> bool:
        """Whether load reports go to collectors."""
        return self._digest_size.is_large

    def set_digests_from(self, instance_count: int) -> None:
        """Set the number of instances from which reports go to collectors."""
        self._digest_size = FleetSize(instance_count)

    def set_instance_count(self, count: int) -> None:
        """Set the number of registered instances, this one included."""
        self._digest_size.apply_count(count)
        if self._fleet_size.apply_count(count):
            logger.bind(
                instances=count, is_large=self._fleet_size.is_large
            ).info('size class of the fleet changed')


def _ignore(*news: Any) -> None:
    """Send nothing."""
