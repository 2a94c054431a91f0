"""Drain notices at an entry: which targets get no new work."""

from cicadahoist.messages import DrainAck, DrainNotice

DrainNumber = tuple[int, int]


class DrainNotices:
    """
    Drains that an entry follows, by target.

    Notices may be late, doubled or crossed: of one target only the highest
    order counts, and an order that was taken back does not come again.
    """

    __slots__ = ('_order_by_target', '_ended_by_target')

    def __init__(self) -> None:
        self._order_by_target: dict[str, str] = {}
        self._ended_by_target: dict[str, DrainNumber] = {}

    def apply(self, notice: DrainNotice) -> None:
        """Take in a notice."""
        number = parse_drain_number(notice.order)
        active = self._order_by_target.get(notice.target)
        if notice.active:
            if number > self._ended_by_target.get(notice.target, (0, 0)):
                if active is None or number > parse_drain_number(active):
                    self._order_by_target[notice.target] = notice.order
            return
        if number > self._ended_by_target.get(notice.target, (0, 0)):
            self._ended_by_target[notice.target] = number
        if active is not None and parse_drain_number(active) <= number:
            self._order_by_target.pop(notice.target)

    def is_drained(self, target: str) -> bool:
        """Tell whether a target gets no new work."""
        return target in self._order_by_target

    def make_acks(
        self, name: str, incarnation: str, open_by_target: dict[str, int]
    ) -> list[DrainAck]:
        """
        Return the acknowledgements to send in a round.

        :param name: name of this instance
        :param open_by_target: requests of this entry that still run, the ones
            on their way included
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
    """Return epoch and sequence number of a drain, by which they compare."""
    epoch, _, seq = order.partition('.')
    return int(epoch), int(seq)
