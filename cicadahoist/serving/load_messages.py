"""Load reports, and the records of the instances that receive them."""

from typing import Annotated

import msgspec

from cicadahoist.codec import Codec
from cicadahoist.policy.crash_containment import Blame
from cicadahoist.policy.engine_board import RoleClosure
from cicadahoist.policy.peer_loads import InFlightLoad
from cicadahoist.policy.target_pauses import TargetLife
from cicadahoist.serving.load_group import PrefillStart
from cicadahoist.serving.part_news import PartNews
from cicadahoist.serving.relay_peers import RelayAddress, RelayState
from cicadahoist.serving.usage_copies import UsageCopy


class LoadMessage(msgspec.Struct, array_like=True, frozen=True):
    """
    Load report of one instance.

    :param sender: name of the instance
    :param true_ms: wall-clock time by the clock of the sender
    :param by_engine: load that the sender has in flight at each engine
    :param closed_by_engine: engines that get no new work, and for how long
    :param blames: requests that were running when a target crashed
    :param prefills: prompts whose prefill has started since the last report
    :param holds_duties: whether the sender holds the lease of the duties
    :param usage: usage counts of the sender, for peers that keep copies of them
    :param part_news: news on prompt parts that crash engines
    :param relay: the sender as a relay to targets
    :param departures: targets that have told the sender that they leave
    :param backoff_ms_by_engine: engines that have rejected work of the sender,
        and for how much longer it leaves them alone
    :param config_version: version of the configuration in force at the sender,
        0 for none or an older build
    """

    sender: str
    true_ms: int
    by_engine: dict[str, InFlightLoad]
    closed_by_engine: dict[str, RoleClosure] = {}
    blames: tuple[Blame, ...] = ()
    prefills: tuple[PrefillStart, ...] = ()
    holds_duties: bool = False
    usage: UsageCopy | None = None
    part_news: PartNews | None = None
    relay: RelayState = RelayState()
    departures: tuple[TargetLife, ...] = ()
    backoff_ms_by_engine: dict[str, int] = {}
    config_version: int = 0


MAX_PORT = 65_535

_Port = Annotated[int, msgspec.Meta(ge=0, le=MAX_PORT)]


class PeerRecord(msgspec.Struct):
    """
    Addresses at which an instance receives load reports and relays.

    :param relay_port: TCP port of the relay, 0 for none
    :param relay_token: token that the relay asks for
    :param takes_digests: whether its build knows load digests
    :param link_mbps: bandwidth of its link in Mbit/s, 0 for no limit
    :param core_count: its processor capacity in cores, 0 for no limit
    """

    host: str
    port: _Port
    zone: str = ''
    relay_port: _Port = 0
    relay_token: str = ''
    takes_digests: bool = False
    link_mbps: float = 0
    core_count: float = 0

    @property
    def relay_address(self) -> RelayAddress:
        """Address and token of its relay."""
        return RelayAddress(
            self.host, self.relay_port, self.relay_token, self.zone
        )


LOAD_CODEC: Codec[LoadMessage] = Codec.packed('load of a peer', LoadMessage)
