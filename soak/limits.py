"""Limits that configurations set, and what callers may rely on."""

import msgspec

# Callers hear of a configuration, and instances apply it, within this time.
CONFIG_MS = 2000
# Callers use this share of the limits that they know.
USED_SHARE = 0.8
IDLE_TIMEOUTS_MS = (1500, 2500, 4000, 6000, 15_000)
HEADER_TIMEOUTS_MS = (800, 1500, 3000)
BODY_SIZES = (1000, 8000, 4_194_304)


class Limits(msgspec.Struct, frozen=True, kw_only=True, rename='kebab'):
    """Limits of one configuration, named as in its file."""

    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3000
    idle_timeout_ms: int = 15_000

    @classmethod
    def choose(cls, rng) -> 'Limits':
        """Return limits of a random size."""
        return cls(
            max_body_bytes=rng.choice(BODY_SIZES),
            header_timeout_ms=rng.choice(HEADER_TIMEOUTS_MS),
            idle_timeout_ms=rng.choice(IDLE_TIMEOUTS_MS),
        )


class PublishedLimits:
    """
    All limits that have been published, by time.

    :param now_ms: returns the time of the soak in ms
    """

    def __init__(self, now_ms) -> None:
        self._now_ms = now_ms
        self._published: list[tuple[int, Limits]] = [(0, Limits())]

    def publish(self, limits: Limits) -> None:
        self._published.append((self._now_ms(), limits))

    def find(self, age_ms: float) -> Limits:
        """Return the limits that were the newest some time ago."""
        before_ms = self._now_ms() - age_ms
        return [
            limits
            for published_ms, limits in self._published
            if published_ms <= before_ms
        ][-1]

    def find_promised(self, name: str, delay_ms: float) -> float:
        """
        Return the share of a limit that a caller may use.

        A limit that was raised binds instances only once all have heard of it.

        :param delay_ms: time after which the caller hears of new limits
        """
        known = getattr(self.find(delay_ms), name)
        settled = getattr(self.find(CONFIG_MS), name)
        return USED_SHARE * min(known, settled)
