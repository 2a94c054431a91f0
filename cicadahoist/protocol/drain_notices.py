"""Drain notices received by an entry: which targets get no new work."""

from cicadahoist.messages import DrainAck, DrainNotice

DrainNumber = tuple[int, int]


class DrainNotices:
    """
    Active drains at an entry, by target.

    Notices may arrive late, duplicated or out of order: per target only the
    highest drain number counts, and a withdrawn drain is not activated again.
    """

    __slots__ = ('_ended_by_target', '_order_by_target')

    def __init__(self) -> None:
        self._order_by_target: dict[str, str] = {}
        self._ended_by_target: dict[str, DrainNumber] = {}

    def apply(self, notice: DrainNotice) -> None:
        """Apply a notice unless a newer one was applied before."""
        number = parse_drain_number(notice.order)
        active_order = self._order_by_target.get(notice.target)
        if notice.active:
            if number > self._ended_by_target.get(notice.target, (0, 0)):
                if active_order is None or number > parse_drain_number(
                    active_order
                ):
                    self._order_by_target[notice.target] = notice.order
            return
        if number > self._ended_by_target.get(notice.target, (0, 0)):
            self._ended_by_target[notice.target] = number
        if (
            active_order is not None
            and parse_drain_number(active_order) <= number
        ):
            self._order_by_target.pop(notice.target)

    def is_drained(self, target: str) -> bool:
        """Return whether a target is being drained and gets no new work."""
        return target in self._order_by_target

    def make_acks(
        self, name: str, incarnation: str, open_by_target: dict[str, int]
    ) -> list[DrainAck]:
        """
        Return the acknowledgements to send in a round.

        :param name: name of this instance
        :param incarnation: incarnation of this process
        :param open_by_target: number of open requests of this entry by target,
            including those in transit
        """
        return [
            DrainAck(
                target=target,
                order=order,
                instance=name,
                incarnation=incarnation,
                open_requests=open_by_target.get(target, 0),
            )
            for target, order in sorted(self._order_by_target.items())
        ]


def parse_drain_number(order: str) -> DrainNumber:
    """Parse the epoch and sequence number by which drains are ordered."""
    epoch, _, seq = order.partition('.')
    return int(epoch), int(seq)
