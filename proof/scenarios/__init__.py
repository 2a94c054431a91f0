"""Scenarios that run the real protocol classes against in-memory fakes."""

from proof.scenarios.authority import AuthorityScenario
from proof.scenarios.claim import ClaimScenario
from proof.scenarios.drain import DrainScenario
from proof.scenarios.peer import PeerScenario
from proof.scenarios.revision import RevisionScenario
from proof.scenarios.usage_window import UsageScenario

__all__ = (
    'AuthorityScenario',
    'ClaimScenario',
    'DrainScenario',
    'PeerScenario',
    'RevisionScenario',
    'UsageScenario',
)
