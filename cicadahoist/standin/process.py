"""Faults that affect a whole stand-in process."""

import os
import time

from cicadahoist.clock import MS_PER_S

CRASH_CODE = 70


def crash() -> None:
    """Exit immediately, without cleanup or flushing of buffers."""
    os._exit(CRASH_CODE)  # noqa: WPS437


def freeze(for_ms: int) -> None:
    """Block the process, its event loop included, for ``for_ms``."""
    time.sleep(for_ms / MS_PER_S)
