"""Objects that the duties of a control process share."""

from collections.abc import Callable
from typing import Any

from cicadahoist.clock import Clock
from cicadahoist.config import Config
from cicadahoist.control.duty import Duty
from cicadahoist.control.entry_link import EntryLink
from cicadahoist.control.lease_task import LeaseTask
from cicadahoist.control.term_deadlines import TermDeadlines
from cicadahoist.ids import new_nonce, rendezvous
from cicadahoist.outside.store import STORES
from cicadahoist.protocol.authority import Authority
from cicadahoist.protocol.term_timer import TermTimer
from cicadahoist.settings import INSTANCE_NAME, INSTANCE_ZONE, STORE_ADAPTER

CANDIDATE_COUNT = 2


class ControlContext:
    """
    Holds the settings, store, entry link and kernel timer of the process.

    :param config: checked settings
    :param clock: clock of the process
    :param reactor: the twisted reactor
    """

    __slots__ = (
        '_deadlines',
        '_holder_id',
        'clock',
        'config',
        'link',
        'reactor',
        'store',
        'zone',
    )

    def __init__(self, config: Config, clock: Clock, reactor: Any) -> None:
        self.config = config
        self.clock = clock
        self.reactor = reactor
        self.zone = config.read(INSTANCE_ZONE)
        self.link = EntryLink.from_config(config, clock, reactor)
        stores = STORES.get(config.read(STORE_ADAPTER))
        self.store = stores.from_config(config, reactor)
        self._holder_id = '{0}/{1}'.format(
            config.read(INSTANCE_NAME), new_nonce()
        )
        self._deadlines = TermDeadlines(TermTimer())

    def build_authority(self, name: str) -> Authority:
        """Build the lease state machine and the order book of a lease."""
        return Authority.from_config(self.config, name, self._holder_id)

    def build_lease_task(
        self, authority: Authority, duty: Duty, may_hold: Callable[[], bool]
    ) -> LeaseTask:
        """
        Build the task that competes for a lease.

        :param may_hold: returns whether it may continue to hold the lease
        """
        return LeaseTask(
            authority,
            duty,
            self.store,
            self.clock,
            self._deadlines,
            may_stand=lambda: self._is_candidate(authority.lease.name),
            may_hold=may_hold,
        )

    def _is_candidate(self, lease: str) -> bool:
        # Each candidate reads the lease every second, so few are allowed.
        live = list(self.link.list_live(self.zone))
        own = self.config.read(INSTANCE_NAME)
        return own in rendezvous(lease, live, CANDIDATE_COUNT)
