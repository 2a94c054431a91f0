"""Balance of the services with few slots."""

from cicadahoist.clock import Clock
from cicadahoist.listings import Listing, TargetDirectory
from cicadahoist.log import get_logger
from cicadahoist.policy.balancing.hold_times import HoldTimes
from cicadahoist.policy.balancing.level_shares import TargetLoad, choose_level
from cicadahoist.policy.balancing.scarcity import Scarcity
from cicadahoist.policy.peer_loads import InFlightLoad, PeerLoad, PeerLoads
from cicadahoist.serving.slot_exchange import SLOT_MARK, SlotExchange
from cicadahoist.settings import SCARCE_PLACES

logger = get_logger(__name__)


class Balances:
    """
    Follows which services of a large fleet have few slots.

    :param directory: the listed targets
    :param clock: clock of the process
    """

    __slots__ = ('_directory', '_scarcity', 'hold_times', 'peer_loads', 'slots')

    def __init__(self, directory: TargetDirectory, clock: Clock) -> None:
        self._directory = directory
        self._scarcity = Scarcity(SCARCE_PLACES.default)
        # Times of the attempts of this instance, by pool.
        self.hold_times = HoldTimes()
        # Open attempts of other instances at plain targets.
        self.peer_loads = PeerLoads()
        self.slots = SlotExchange(clock)

    def set_slots_per_instance(self, slots_per_instance: float) -> None:
        """Set below how many slots for each instance a service is scarce."""
        self._scarcity.slots_per_instance = slots_per_instance
        self.sync()

    def set_fleet(self, instance_count: int, *, is_large: bool) -> None:
        """Set the number of instances, and whether they are a large fleet."""
        self._scarcity.set_fleet(instance_count, is_large=is_large)
        self.sync()

    def is_scarce(self, service: str) -> bool:
        """Return whether the slots of a service are scarce."""
        return self._scarcity.is_scarce(service)

    def receive(self, datagram: bytes) -> bool:
        """Process a datagram about slots; return whether it is one."""
        if not datagram.startswith(SLOT_MARK):
            return False
        self.slots.receive(datagram)
        return True

    def apply_peer_load(
        self, peer: str, load_by_target: dict[str, InFlightLoad], now_ms: int
    ) -> None:
        """Replace the load of a peer, where any service has few slots."""
        if self._scarcity.has_scarce:
            self.peer_loads.apply(peer, PeerLoad(load_by_target, now_ms))

    def draw(
        self,
        listings: list[Listing],
        own_counts: list[int],
        key: str,
        now_ms: int,
    ) -> Listing:
        """
        Return one of some plain targets, by shares that level their load.

        :param listings: targets of one service, at least one
        :param own_counts: open attempts of this instance at each of them
        :param key: text that differs between requests
        """
        loads = [
            TargetLoad(
                own_count=own_count,
                peer_count=self.peer_loads.get_total(listing.name).run_count,
                slots=listing.slots,
            )
            for listing, own_count in zip(listings, own_counts, strict=True)
        ]
        chosen = choose_level(
            loads,
            self.peer_loads.compute_age_ms(now_ms),
            self.hold_times.get_hold_ms(listings[0].service),
            key,
        )
        return listings[chosen]

    def sync(self) -> None:
        """Apply the slots of the listed targets."""
        slots_by_service: dict[str, int] = {}
        for listing in self._directory.list_all():
            slots = slots_by_service.get(listing.service, 0) + listing.slots
            slots_by_service[listing.service] = slots
        for service in sorted(self._scarcity.update(slots_by_service)):
            logger.bind(
                service=service,
                slots=slots_by_service.get(service, 0),
                is_scarce=self._scarcity.is_scarce(service),
            ).info('scarcity of slots changed')
