"""Periodic heartbeats, and the exchange of membership summaries."""

from collections.abc import Callable

import msgspec

from cicadahoist.clock import Clock, Timer
from cicadahoist.mesh.outbox import Outbox, Outgoing
from cicadahoist.mesh.peers import address_of
from cicadahoist.mesh.prober import Prober
from cicadahoist.mesh.view import View
from cicadahoist.mesh.zones import DIRECT_REPORTER
from cicadahoist.messages import (
    DrainNotice,
    Heartbeat,
    InstanceInfo,
    KnownInstances,
)
from cicadahoist.protocol.drain_notices import DrainNotices

ROUNDS_PER_PROBE = 4
ROUNDS_PER_SUMMARY = 10


class RevisionState(msgspec.Struct, frozen=True, kw_only=True):
    """Table fields of a heartbeat; see :class:`Heartbeat`."""

    revision: int = 0
    in_force_ms: int = 0
    confirmed_age_ms: int = -1


class Rounds:
    """
    Sends a batch with a heartbeat to each peer in each round.

    :param view: the live instances
    :param outbox: sends the batches
    :param prober: chooses addresses of instances that are not heard
    :param clock: time source
    :param period_ms: time between two rounds
    :param zone_timeout_ms: silence after which another zone is considered
        unreachable
    """

    __slots__ = (
        '_clock',
        '_drain_notices',
        '_last_sent_summary',
        '_outbox',
        '_period_ms',
        '_probed_addresses',
        '_prober',
        '_round_number',
        '_timer',
        '_view',
        '_zone_timeout_ms',
        'describe_table',
        'is_leaving',
    )

    def __init__(
        self,
        view: View,
        outbox: Outbox,
        prober: Prober,
        clock: Clock,
        *,
        period_ms: int,
        zone_timeout_ms: int,
    ) -> None:
        self.describe_table: Callable[[], RevisionState] = RevisionState
        self.is_leaving = False
        self._view = view
        self._outbox = outbox
        self._prober = prober
        self._clock = clock
        self._period_ms = period_ms
        self._zone_timeout_ms = zone_timeout_ms
        self._round_number = 0
        self._probed_addresses: list[str] = []
        self._drain_notices = DrainNotices()
        self._last_sent_summary: KnownInstances | None = None
        self._timer: Timer | None = None

    def run(self) -> None:
        """Run one round, and schedule the next one."""
        self._timer = self._clock.call_later(self._period_ms, self.run)
        self._round_number += 1
        self._expire_silent()
        if self._round_number % ROUNDS_PER_PROBE == 1:
            self._probe()
        gateway_names = [
            gateway.name for gateway in self._view.list_linked_gateways()
        ]
        if gateway_names:
            self._queue_summaries(gateway_names)
        heard = self._view.peers.list_heard_incarnations()
        recipients = [*self._view.zone_peers(), *gateway_names]
        for name in recipients:
            self._outbox.send(name, [self._make_heartbeat(name, heard)])

    def stop(self) -> None:
        """Cancel the next round."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def send_initial_state(self, newcomer: InstanceInfo) -> None:
        """
        Send membership and drains to an instance that has become live.

        The drain notices precede the heartbeat that acknowledges the
        newcomer, since it may send work to targets from then on.
        """
        messages: list[Outgoing] = [self._view.make_summary()]
        if (
            newcomer.zone == self._view.info.zone
            and self._view.list_linked_gateways()
        ):
            zones = self._view.zones
            messages.extend(
                zones.make_direct_summary(zone) for zone in zones.list_zones()
            )
        heard = self._view.peers.list_heard_incarnations()
        messages.extend(
            DrainNotice(target=ack.target, order=ack.order)
            for ack in self._drain_notices.make_acks('', '', {})
        )
        messages.append(self._make_heartbeat(newcomer.name, heard))
        self._outbox.send(newcomer.name, messages)

    def apply_drain_notice(
        self, sender: InstanceInfo, notice: DrainNotice
    ) -> None:
        """Store a drain notice, to pass it on to newcomers."""
        self._drain_notices.apply(notice)

    def apply_known_instances(
        self, sender: InstanceInfo, known: KnownInstances
    ) -> None:
        """Apply the membership summary of a sender."""
        own_zone = self._view.info.zone
        is_direct = sender.zone != own_zone
        for instance in known.instances:
            if instance.zone == own_zone or is_direct:
                self._prober.add(address_of(instance))
        reporter = DIRECT_REPORTER if is_direct else sender.name
        if self._view.zones.apply_summary(known, reporter) and is_direct:
            self._queue_zone_summary(known.zone)

    def _expire_silent(self) -> None:
        now_ms = self._clock.now_ms()
        self._view.peers.apply_timeouts(now_ms)
        self._view.zones.retain_reporters(self._view.zone_peers())
        for zone in self._view.zones.expire(self._zone_timeout_ms, now_ms):
            self._queue_zone_summary(zone)

    def _queue_summaries(self, gateway_names: list[str]) -> None:
        is_due = self._round_number % ROUNDS_PER_SUMMARY == 0
        summary = self._view.make_summary()
        if is_due or summary != self._last_sent_summary:
            self._last_sent_summary = summary
            self._outbox.put_all(gateway_names, summary)
        if is_due:
            zones = self._view.zones.list_zones()
            turn = self._round_number // ROUNDS_PER_SUMMARY % len(zones)
            self._queue_zone_summary(zones[turn])

    def _queue_zone_summary(self, zone: str) -> None:
        summary = self._view.zones.make_direct_summary(zone)
        self._outbox.put_all(self._view.zone_peers(), summary)

    def _probe(self) -> None:
        for silent in self._view.peers.list_silent():
            self._prober.add(address_of(silent))
        live = self._view.live().values()
        heard = {address_of(instance) for instance in live}
        # Otherwise a connection to a dead address is redialled forever.
        for address in set(self._probed_addresses) - heard:
            self._outbox.close(address)
        self._probed_addresses = self._prober.choose_addresses(heard)
        for address in self._probed_addresses:
            self._outbox.probe(address, [self._make_heartbeat('', {})])

    def _make_heartbeat(self, name: str, heard: dict[str, str]) -> Heartbeat:
        # The recipient evaluates only its own entry of ``heard``.
        incarnation = heard.get(name)
        state = self.describe_table()
        return Heartbeat(
            heard={name: incarnation} if incarnation else {},
            revision=state.revision,
            in_force_ms=state.in_force_ms,
            confirmed_age_ms=state.confirmed_age_ms,
            leaving=self.is_leaving,
        )
