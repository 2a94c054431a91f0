"""Formats wall-clock times for operators."""

from datetime import UTC, datetime

from cicadahoist.clock import MS_PER_S


def format_utc(time_ms: int) -> str:
    """Return a wall-clock time in ISO 8601, in whole seconds of UTC."""
    time = datetime.fromtimestamp(time_ms / MS_PER_S, UTC)
    return time.strftime('%Y-%m-%dT%H:%M:%SZ')
