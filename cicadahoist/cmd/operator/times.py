"""Wall-clock times as operators read them."""

from datetime import UTC, datetime

from cicadahoist.clock import MS_PER_S


def utc_text(at_ms: int) -> str:
    """Return a wall-clock time in ISO 8601, to the second."""
    at = datetime.fromtimestamp(at_ms / MS_PER_S, UTC)
    return at.strftime('%Y-%m-%dT%H:%M:%SZ')
