"""Entries that report to a control process and acknowledge its drains."""

from cicadahoist.clock import Clock
from cicadahoist.control.entry_link import EntryLink
from cicadahoist.mesh.local_messages import (
    EntryState,
    Received,
    SendToAll,
    decode_local,
    encode_local,
)
from cicadahoist.mesh.local_pair import MemoryPair
from cicadahoist.messages import DrainAck, DrainNotice, InstanceInfo
from tests.test_mesh.cluster import run

LINK_TIMEOUT_MS = 2000


class Entries:
    """All entries of a deployment, behind the link of one control process."""

    def __init__(self, clock: Clock, names: list[str]) -> None:
        self._clock = clock
        self._pair, other = MemoryPair.create_pair()
        self.link = EntryLink(other, clock, LINK_TIMEOUT_MS)
        self.by_name = {name: _info(name) for name in names}
        self.silent: set[str] = set()
        self.open_requests: dict[str, int] = {}
        self.notices: list[DrainNotice] = []
        self._pair.start(self._receive)
        run(self.link.start())
        self.report()

    def report(self) -> None:
        """Report the live entries to control, without the silent ones."""
        state = EntryState(
            own=next(iter(self.by_name.values())),
            live=[
                info
                for name, info in self.by_name.items()
                if name not in self.silent
            ],
            not_gone=list(self.by_name.values()),
        )
        self._pair.send(encode_local(state))

    def restart(self, name: str) -> None:
        self.by_name[name] = _info(name, 'second')
        self.report()

    @property
    def is_draining(self) -> bool:
        return bool(self.notices) and self.notices[-1].active

    def _receive(self, wire: bytes) -> None:
        local = decode_local(wire)
        assert isinstance(local, SendToAll)
        notice = local.message
        assert isinstance(notice, DrainNotice)
        self.notices.append(notice)
        for name, info in self.by_name.items():
            if notice.active and name not in self.silent:
                self._clock.call_later(1, self._ack, info, notice)

    def _ack(self, info: InstanceInfo, notice: DrainNotice) -> None:
        ack = DrainAck(
            target=notice.target,
            order=notice.order,
            instance=info.name,
            incarnation=info.incarnation,
            open_requests=self.open_requests.get(info.name, 0),
        )
        self._pair.send(encode_local(Received(sender=info, message=ack)))


def _info(name: str, incarnation: str = 'first') -> InstanceInfo:
    return InstanceInfo(
        name=name, zone='a', address=name, port=1, incarnation=incarnation
    )
