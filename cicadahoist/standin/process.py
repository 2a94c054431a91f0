"""Faults of a whole stand-in process."""

import os
import time

from cicadahoist.clock import MS_PER_S

CRASH_CODE = 70


def crash() -> None:
    """End this process at once, without closing or flushing anything."""
    os._exit(CRASH_CODE)  # noqa: WPS437


def freeze(for_ms: int) -> None:
    """Let this process do nothing for a while."""
    time.sleep(for_ms / MS_PER_S)
