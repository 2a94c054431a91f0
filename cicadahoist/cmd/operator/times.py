"""Wall-clock times as operators read them."""

from datetime import UTC, datetime

from cicadahoist.clock import MS_PER_S


def format_utc(time_ms: int) -> str:
    """Return a wall-clock time in ISO 8601, to the second."""
    time = datetime.fromtimestamp(time_ms / MS_PER_S, UTC)
    return time.strftime('%Y-%m-%dT%H:%M:%SZ')
