"""Decides whether a deployment has enough instances to be a large fleet."""

# A large deployment that loses instances stays large down to this share of the
# bound, so that it does not switch back and forth while some restart.
LEAVE_SHARE = 0.8


class FleetSize:
    """
    Number of registered instances, and whether they are a large fleet.

    Parts whose cost or benefit depends on many instances run in large fleets
    only; smaller ones are served without them.

    :param large_from: instances from which a fleet counts as large
    """

    __slots__ = ('_large_from', 'instance_count', 'is_large')

    def __init__(self, large_from: int) -> None:
        self._large_from = large_from
        self.instance_count = 1
        self.is_large = False

    def apply_count(self, instance_count: int) -> bool:
        """
        Record the number of registered instances, this one included.

        :return: whether the fleet has become large, or has ceased to be
        """
        self.instance_count = instance_count
        was_large = self.is_large
        bound = float(self._large_from)
        if was_large:
            bound *= LEAVE_SHARE
        self.is_large = instance_count >= bound
        return self.is_large != was_large
