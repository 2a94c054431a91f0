"""The open attempts of one request."""

from cicadahoist.serving.attempt import SILENT, Attempt


class OpenAttempts:
    """
    The attempts of one request that have not ended.

    There is one, or a second one beside a target that has fallen silent. The
    first of them that brings a part of the answer replaces the other one.
    """

    __slots__ = ('_by_target',)

    def __init__(self) -> None:
        self._by_target: dict[str, Attempt] = {}

    def __bool__(self) -> bool:
        return bool(self._by_target)

    def __len__(self) -> int:
        return len(self._by_target)

    @property
    def has_sent_run(self) -> bool:
        """Whether a target may have begun to run the request."""
        return any(
            attempt.is_sent and attempt.may_run
            for attempt in self._by_target.values()
        )

    def add(self, attempt: Attempt) -> None:
        """Add an attempt; each is at another target."""
        self._by_target[attempt.listing.name] = attempt

    def remove(self, attempt: Attempt) -> None:
        """Remove an attempt that has ended, unless it was removed before."""
        if self.contains(attempt):
            self._by_target.pop(attempt.listing.name)

    def get_oldest(self) -> Attempt | None:
        """Return the attempt that was added first, if any is open."""
        return next(iter(self._by_target.values()), None)

    def contains(self, attempt: Attempt) -> bool:
        """Return whether an attempt has not ended."""
        return self._by_target.get(attempt.listing.name) is attempt

    def count_runs(self) -> int:
        """Return the number of attempts that are more than a prefill."""
        return sum(attempt.may_run for attempt in self._by_target.values())

    def keep_only(self, target: str) -> None:
        """
        End all attempts but one.

        An older one counts as lost to silence, a newer one as stopped.

        :param target: target of the attempt to keep
        """
        is_older = True
        attempts = list(self._by_target.items())
        # One whose connection is still being opened reports its end later.
        self._by_target = {
            name: attempt for name, attempt in attempts if name == target
        }
        for name, attempt in attempts:
            if name == target:
                is_older = False
            elif is_older:
                attempt.abandon(SILENT)
            else:
                attempt.stop()

    def stop_all(self) -> None:
        """End all attempts, so that their targets stop work."""
        attempts = list(self._by_target.values())
        self._by_target = {}
        for attempt in attempts:
            attempt.stop()

    def pause(self) -> None:
        """Stop reading from the targets until `resume` is called."""
        for attempt in self._by_target.values():
            attempt.pause()

    def resume(self) -> None:
        """Continue to read from the targets."""
        for attempt in list(self._by_target.values()):
            attempt.resume()
