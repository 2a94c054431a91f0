"""
Kernel timer that terminates a lease holder at the end of its term.

The process may be suspended between a check of the clock and the send that
follows, and targets without fencing accept orders from any sender. SIGALRM
keeps its default action: after a suspension the kernel delivers it before the
process runs another instruction.
"""

import os
import signal
from collections.abc import Callable

from cicadahoist.clock import MS_PER_S, read_boot_ms

ARM_TOLERANCE_MS = 20


def block_alarm() -> None:
    """
    Block SIGALRM in threads that start from now on.

    Call this before the first thread starts. If another thread received the
    signal, the main thread could keep running until that thread has terminated
    the process.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, [signal.SIGALRM])


class TermTimer:
    """
    Terminates the process at a deadline unless it is re-armed before.

    Use it in the main thread only, which is the only one to receive SIGALRM.
    No handler runs, so a process that serves requests must not use it.

    :param read_ms: reads the clock that deadlines refer to
    """

    __slots__ = ('_read_ms',)

    def __init__(self, read_ms: Callable[[], int] = read_boot_ms) -> None:
        self._read_ms = read_ms
        signal.signal(signal.SIGALRM, signal.SIG_DFL)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, [signal.SIGALRM])

    def arm(self, deadline_ms: int) -> None:
        """
        Terminate the process at ``deadline_ms``, at once if that has passed.

        The kernel timer takes a delay. A suspension between reading the clock
        and setting the timer would make it fire late, so the timer is set
        again until both happen within ``ARM_TOLERANCE_MS``.
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
        """Stop the timer; this process no longer holds a lease."""
        signal.setitimer(signal.ITIMER_REAL, 0)
