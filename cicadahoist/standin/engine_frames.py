"""Faults of single events in the streams of the engine stand-in."""

from collections.abc import Callable

from cicadahoist.registry import Registry

SKIPPED_EACH = 3

# Gets the event before, the number of the event and the event itself;
# returns what is written in its place.
FrameFault = Callable[[bytes, int, bytes], bytes]

FRAME_FAULTS: Registry[FrameFault] = Registry('frame fault')


@FRAME_FAULTS.register('repeat-frame')
def repeat_frame(before: bytes, number: int, event: bytes) -> bytes:
    """Write each event twice."""
    return event + event


@FRAME_FAULTS.register('late-frame')
def late_frame(before: bytes, number: int, event: bytes) -> bytes:
    """Write each event again after the one that follows it."""
    return event + before


@FRAME_FAULTS.register('skip-frame')
def skip_frame(before: bytes, number: int, event: bytes) -> bytes:
    """Leave every third event out."""
    return event if number % SKIPPED_EACH else b''


@FRAME_FAULTS.register('crossed-frame')
def crossed_frame(before: bytes, number: int, event: bytes) -> bytes:
    """Write an event of another attempt before each event."""
    other = event.replace(b'"id":"', b'"id":"other-', 1)
    # No token of an answer starts with an x.
    return other.replace(b'":"w', b'":"x', 1) + event
