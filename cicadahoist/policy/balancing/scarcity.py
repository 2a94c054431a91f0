"""Decides which services have few slots for the number of instances."""

# Bound at which a scarce service ceases to be one, relative to the bound at
# which it becomes one, so that single targets that come and go change nothing.
LEAVE_RATIO = 1.25


class Scarcity:
    """
    Services whose slots are scarce in a large fleet.

    :param slots_per_instance: a service is scarce with fewer slots for each
        instance, 0 for never
    """

    __slots__ = (
        '_instance_count',
        '_is_large',
        '_scarce',
        'slots_per_instance',
    )

    def __init__(self, slots_per_instance: float) -> None:
        self.slots_per_instance = slots_per_instance
        self._instance_count = 1
        self._is_large = False
        self._scarce: set[str] = set()

    def set_fleet(self, instance_count: int, *, is_large: bool) -> None:
        """Set the number of instances, and whether they are a large fleet."""
        self._instance_count = instance_count
        self._is_large = is_large

    @property
    def has_scarce(self) -> bool:
        """Whether the slots of any service are scarce."""
        return bool(self._scarce)

    def is_scarce(self, service: str) -> bool:
        """Return whether the slots of a service are scarce."""
        return service in self._scarce

    def update(self, slots_by_service: dict[str, int]) -> set[str]:
        """
        Apply the slots of all services.

        :return: services that have become scarce, or have ceased to be
        """
        scarce = {
            service
            for service, slots in slots_by_service.items()
            if self._has_few(service, slots)
        }
        changed = scarce ^ self._scarce
        self._scarce = scarce
        return changed

    def _has_few(self, service: str, slots: int) -> bool:
        if not self._is_large:
            return False
        bound = self.slots_per_instance * self._instance_count
        if service in self._scarce:
            bound *= LEAVE_RATIO
        return slots < bound
