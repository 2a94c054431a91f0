"""
The kernel's timer that ends a holder whose term runs out.

A check of the clock that is followed by a send can be parted by a pause, and
some targets take orders from anyone. SIGALRM keeps its default action: after a
pause the kernel delivers it before the process runs another instruction.
"""

import os
import signal
from collections.abc import Callable

from cicadahoist.clock import MS_PER_S, read_boot_ms

ARM_TOLERANCE_MS = 20


def block_alarm() -> None:
    """
    Keep SIGALRM away from threads that start from now on.

    Called before the first thread starts. Were the signal taken by another
    thread, the main thread could run on until that thread has ended the
    process.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGALRM])


class TermTimer:
    """
    Ends the process at a deadline unless it is re-armed before.

    Belongs to the main thread, which alone takes SIGALRM. No handler runs, so
    only a process without requests of its own may use it.

    :param read_ms: clock in which deadlines are given
    """

    __slots__ = ('_read_ms',)

    def __init__(self, read_ms: Callable[[], int] = read_boot_ms) -> None:
        self._read_ms = read_ms
        signal.signal(signal.SIGALRM, signal.SIG_DFL)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGALRM])

    def arm(self, deadline_ms: int) -> None:
        """
        End the process at ``deadline_ms``, at once if that has passed.

        The kernel takes a delay. A pause between reading the clock and
        setting the timer would make it late, so it is set again until both
        happened within ``ARM_TOLERANCE_MS``.
        """
        while True:
            before_ms = self._read_ms()
            if before_ms >= deadline_ms:
                os.kill(os.getpid(), signal.SIGALRM)
            delay_s = max(1, deadline_ms - before_ms) / MS_PER_S
            signal.setitimer(signal.ITIMER_REAL, delay_s)
            if self._read_ms() - before_ms <= ARM_TOLERANCE_MS:
                return

    def disarm(self) -> None:
        """Stop the timer; the process holds nothing any more."""
        signal.setitimer(signal.ITIMER_REAL, 0)
