"""Faults of single events in streams of the engine stand-in."""

from collections.abc import Callable

from cicadahoist.registry import Registry

SKIP_INTERVAL = 3

# Called with the previous event, the number of the event, starting at 1, and
# the event; returns the bytes to write instead of the event.
FrameFault = Callable[[bytes, int, bytes], bytes]

FRAME_FAULTS: Registry[FrameFault] = Registry('frame fault')


@FRAME_FAULTS.register('repeat-frame')
def repeat_frame(previous: bytes, number: int, event: bytes) -> bytes:
    """Write each event twice."""
    return event + event


@FRAME_FAULTS.register('late-frame')
def late_frame(previous: bytes, number: int, event: bytes) -> bytes:
    """Repeat each event after the one that follows it."""
    return event + previous


@FRAME_FAULTS.register('skip-frame')
def skip_frame(previous: bytes, number: int, event: bytes) -> bytes:
    """Omit every third event."""
    return event if number % SKIP_INTERVAL else b''


@FRAME_FAULTS.register('crossed-frame')
def crossed_frame(previous: bytes, number: int, event: bytes) -> bytes:
    """Write an event of another attempt before each event."""
    foreign = event.replace(b'"id":"', b'"id":"other-', 1)
    # Tokens of real answers start with w, so the x marks a foreign one.
    return foreign.replace(b'":"w', b'":"x', 1) + event
