"""
Which requests, and which parts of prompts, crash the targets that run them.

A request that has crashed three targets is not sent any more (`CrashBlame`).
Requests that share a part of their prompts may crash one target each: the runs
that had just begun at crashed targets are the evidence (`CrashEvidence`), and a
part that is guilty by it is held (`HeldParts`). What counts as a crash of a
target is decided in :mod:`cicadahoist.serving.target_crashes`.

Other packages import these names from here.
"""

from cicadahoist.policy.crash_containment.crash_blame import (
    MAX_CRASHES,
    Blame,
    CrashBlame,
)
from cicadahoist.policy.crash_containment.crash_evidence import CrashEvidence
from cicadahoist.policy.crash_containment.crash_log import (
    BegunRun,
    CrashReport,
)
from cicadahoist.policy.crash_containment.held_parts import (
    HOLD_MS,
    MAX_HOLDS,
    HeldParts,
    PartHold,
    join_holds,
)
from cicadahoist.policy.crash_containment.sound_parts import SoundPart

__all__ = (
    'HOLD_MS',
    'MAX_CRASHES',
    'MAX_HOLDS',
    'BegunRun',
    'Blame',
    'CrashBlame',
    'CrashEvidence',
    'CrashReport',
    'HeldParts',
    'PartHold',
    'SoundPart',
    'join_holds',
)
