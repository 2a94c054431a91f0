"""Chooses the instance that grants the slots of a service."""

from cicadahoist.ids import rendezvous

# An instance that does not answer is passed over for this long, twice as long
# with each time in a row: it may run a build that grants no slots.
FIRST_PASS_OVER_MS = 500
MAX_PASS_OVER_MS = 16_000
MAX_DOUBLINGS = 5
# The choice is kept for this long, as ranking all instances takes a while.
KEEP_MS = 250
# A home that was chosen later than this cannot have been asked what got no
# answer.
MIN_ASKED_MS = 20


class HomeRank:
    """Homes by rendezvous hashing over the instances that are heard."""

    __slots__ = ('_chosen_by_service', '_row_by_instance')

    def __init__(self) -> None:
        # Home, the time until which it is kept, and since when it is the home.
        self._chosen_by_service: dict[str, tuple[str, int, int]] = {}
        # Times without an answer in a row, and the end of the last pass-over.
        self._row_by_instance: dict[str, tuple[int, int]] = {}

    def find_kept(self, service: str, now_ms: int) -> str | None:
        """Return the home of a service, none if it is to be chosen anew."""
        home, until_ms, _ = self._chosen_by_service.get(service, _NO_CHOICE)
        return home if home and now_ms < until_ms else None

    def choose(self, service: str, instances: list[str], now_ms: int) -> str:
        """
        Return the home of a service.

        :param instances: all that are heard, this one included
        """
        sound = [
            name
            for name in instances
            if self._row_by_instance.get(name, (0, 0))[1] <= now_ms
        ]
        home = rendezvous(service, sound or instances)[0]
        known, _, since_ms = self._chosen_by_service.get(service, _NO_CHOICE)
        if home != known:
            since_ms = now_ms
        self._chosen_by_service[service] = (home, now_ms + KEEP_MS, since_ms)
        return home

    def record_answer(self, service: str) -> None:
        """Record that the home of a service has answered."""
        home, _, _ = self._chosen_by_service.get(service, _NO_CHOICE)
        self._row_by_instance.pop(home, None)

    def record_silence(self, service: str, now_ms: int) -> str:
        """
        Pass over the home of a service, unless it was chosen just now.

        :return: name of the home that is passed over, empty for none
        """
        home, _, since_ms = self._chosen_by_service.get(service, _NO_CHOICE)
        if not home or now_ms - since_ms < MIN_ASKED_MS:
            return ''
        self._chosen_by_service.pop(service)
        row, _ = self._row_by_instance.get(home, (0, 0))
        pass_over_ms = FIRST_PASS_OVER_MS << min(row, MAX_DOUBLINGS)
        until_ms = now_ms + min(MAX_PASS_OVER_MS, pass_over_ms)
        self._row_by_instance[home] = (row + 1, until_ms)
        return home


_NO_CHOICE = ('', 0, 0)
