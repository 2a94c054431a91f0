"""Suspects and their claims on targets."""


class Claim:
    """A target that is reserved for one suspect."""

    __slots__ = ('since_ms', 'target')

    def __init__(self, target: str, since_ms: int) -> None:
        self.target = target
        self.since_ms = since_ms


class Suspect:
    """
    A body that was blamed for the end of a target.

    :param blamed_ms: when it was blamed, by target
    """

    __slots__ = ('blamed_ms', 'was_alone')

    def __init__(self) -> None:
        self.blamed_ms: dict[str, int] = {}
        self.was_alone = False

    def blame(self, target: str, now_ms: int, *, alone: bool) -> None:
        """Blame it for the end of a target."""
        if alone and self.blamed_ms.keys() - {target}:
            self.was_alone = True
        self.blamed_ms.setdefault(target, now_ms)

    def clear(self, targets: set[str]) -> None:
        """Drop blames for targets that another body ended."""
        for target in targets:
            self.blamed_ms.pop(target, None)

    def newest_ms(self) -> int:
        """Return when it was last blamed."""
        return max(self.blamed_ms.values())

    def separate_targets(self, apart_ms: int) -> set[str]:
        """
        Return the targets that ended at different times.

        Targets that end together share a cause, such as the loss of a zone.
        """
        separate: set[str] = set()
        last_ms = -apart_ms
        for target, at_ms in sorted(
            self.blamed_ms.items(), key=lambda blamed: blamed[1]
        ):
            if at_ms - last_ms >= apart_ms:
                separate.add(target)
            last_ms = at_ms
        return separate
