"""Faults of single events in the streams of the engine stand-in."""

from collections.abc import Callable

from cicadahoist.registry import Registry

SKIP_INTERVAL = 3

# Gets the event previous, the number of the event and the event itself;
# returns what is written in its place.
FrameFault = Callable[[bytes, int, bytes], bytes]

FRAME_FAULTS: Registry[FrameFault] = Registry('frame fault')


@FRAME_FAULTS.register('repeat-frame')
def repeat_frame(previous: bytes, number: int, event: bytes) -> bytes:
    """Write each event twice."""
    return event + event


@FRAME_FAULTS.register('late-frame')
def late_frame(previous: bytes, number: int, event: bytes) -> bytes:
    """Write each event again after the one that follows it."""
    return event + previous


@FRAME_FAULTS.register('skip-frame')
def skip_frame(previous: bytes, number: int, event: bytes) -> bytes:
    """Leave every third event out."""
    return event if number % SKIP_INTERVAL else b''


@FRAME_FAULTS.register('crossed-frame')
def crossed_frame(previous: bytes, number: int, event: bytes) -> bytes:
    """Write an event of another attempt previous each event."""
    foreign = event.replace(b'"id":"', b'"id":"other-', 1)
    # No token of an answer starts with an x.
    return foreign.replace(b'":"w', b'":"x', 1) + event
