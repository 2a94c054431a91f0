"""Faults that can be injected into the engine stand-in."""

import math
from collections.abc import Callable

from cicadahoist.clock import Clock
from cicadahoist.registry import Registry
from cicadahoist.standin.engine import Engine
from cicadahoist.standin.engine_batch import Job
from cicadahoist.standin.engine_frames import FRAME_FAULTS, FrameFault
from cicadahoist.standin.faults import Fault
from cicadahoist.standin.process import crash, freeze


class EngineFaults:
    """
    Injects faults into an engine.

    :param engine: the engine
    :param clock: clock for delayed faults
    """

    __slots__ = (
        'clock',
        'crash',
        'crash_mark',
        'cut_after',
        'engine',
        'frame_fault',
        'freeze',
        'is_torn',
    )

    def __init__(self, engine: Engine, clock: Clock) -> None:
        self.engine = engine
        self.clock = clock
        self.crash_mark = ''
        self.cut_after = 0
        self.is_torn = False
        self.frame_fault: FrameFault | None = None
        self.crash: Callable[[], None] = crash
        self.freeze: Callable[[int], None] = freeze

    def apply(self, fault: Fault) -> None:
        """
        Inject a fault, or end all faults.

        :raises ConfigError: an engine has no such fault
        """
        ENGINE_FAULTS.get(fault.kind)(self, fault)

    def wrap_emit(
        self, prompt: str, emit: Callable[[Job], None]
    ) -> Callable[[Job], None]:
        """Return the token callback of a request, with its faults applied."""
        if self.crash_mark and self.crash_mark in prompt:
            return self._crash_on_token
        return emit

    def _crash_on_token(self, job: Job) -> None:
        self.crash()


ENGINE_FAULTS: Registry[Callable[[EngineFaults, Fault], None]] = Registry(
    'engine fault'
)


@ENGINE_FAULTS.register('none')
def end_faults(faults: EngineFaults, fault: Fault) -> None:
    """End all faults."""
    faults.engine.stalled_until_ms = 0
    faults.crash_mark = ''
    faults.cut_after = 0
    faults.is_torn = False
    faults.frame_fault = None


@ENGINE_FAULTS.register('crash')
@ENGINE_FAULTS.register('reclaim')
def crash_later(faults: EngineFaults, fault: Fault) -> None:
    """Crash the process after ``delay_ms``."""
    faults.clock.call_later(fault.delay_ms, faults.crash)


@ENGINE_FAULTS.register('freeze')
def freeze_process(faults: EngineFaults, fault: Fault) -> None:
    """Block the whole process for ``delay_ms``."""
    faults.clock.call_later(0, faults.freeze, fault.delay_ms)


@ENGINE_FAULTS.register('stall')
def stall_steps(faults: EngineFaults, fault: Fault) -> None:
    """Accept requests but generate no tokens."""
    faults.engine.stalled_until_ms = math.inf


@ENGINE_FAULTS.register('pause')
def pause_steps(faults: EngineFaults, fault: Fault) -> None:
    """Accept requests but generate no tokens for ``delay_ms``."""
    faults.engine.stalled_until_ms = faults.clock.now_ms() + fault.delay_ms


@ENGINE_FAULTS.register('cut')
def cut_streams(faults: EngineFaults, fault: Fault) -> None:
    """Abort the connection of each new answer after ``count`` tokens."""
    faults.cut_after = fault.count
    faults.is_torn = False


@ENGINE_FAULTS.register('tear')
def tear_streams(faults: EngineFaults, fault: Fault) -> None:
    """End each new answer inside an event after ``count`` tokens."""
    faults.cut_after = fault.count
    faults.is_torn = True


@ENGINE_FAULTS.register('crash-on-mark')
def crash_on_mark(faults: EngineFaults, fault: Fault) -> None:
    """Crash the process at the first token for a prompt with ``mark``."""
    faults.crash_mark = fault.mark


@ENGINE_FAULTS.register('frames')
def set_frame_fault(faults: EngineFaults, fault: Fault) -> None:
    """Apply the frame fault ``mark`` to each new answer."""
    faults.frame_fault = FRAME_FAULTS.get(fault.mark)
