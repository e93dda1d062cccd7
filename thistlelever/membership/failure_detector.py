"""The failure detector of one front. Composes the parts of this package and has no I/O of its own.

Members are probed in rounds, directly and through others; before a member is held dead it is suspected for
some time; and a front in poor health delays its own accusations.

    detector = FailureDetector(config, identity, tier, seed, now)
    sends = detector.tick(now)                        # whenever `next_tick_at` has come
    sends = detector.handle_message(now, address, message, updates)
    view = detector.view(now)

Follows SWIM (Das, Gupta, Motivala 2002) and Lifeguard (Dadgar, Phillips, Currey 2018). Departures from them
are marked where they apply and discussed in `docs/membership.md`. Times are seconds of a monotonic clock. The
same calls produce the same messages: random choices depend only on the seed and a counter.
"""

from __future__ import annotations

from collections import Counter

from thistlelever.membership.anti_entropy import AntiEntropy
from thistlelever.membership.config import MembershipConfig
from thistlelever.membership.context import Context
from thistlelever.membership.discovery import PeerDiscovery
from thistlelever.membership.gossip import GossipQueue
from thistlelever.membership.local import LocalMember
from thistlelever.membership.local_health import LocalHealth
from thistlelever.membership.member import NEVER, Member, accept_sequence_number
from thistlelever.membership.merge import BY_ITSELF, Merger
from thistlelever.membership.name_conflict import NameConflicts
from thistlelever.membership.outbox import Outbox
from thistlelever.membership.prober import Probe, Prober
from thistlelever.membership.random_source import RandomSource
from thistlelever.membership.suspicion import Suspicions
from thistlelever.membership.table import MemberTable
from thistlelever.membership.types import Address, Identity, Send, TierSettings, View
from thistlelever.wire.peers import GossipUpdate, Message, MessageKind, State

# Minimum seconds between two announcements of the service health, and between two ticks of a front that has
# stood down.
SERVING_INTERVAL, STOOD_DOWN_INTERVAL = 1.0, 1.0
NOT_JOINED = "no word yet"


class FailureDetector:
    """Takes messages, ticks and settings; returns messages to send and a view of the tier."""

    def __init__(
        self, config: MembershipConfig, identity: Identity, tier: TierSettings, seed: int, now: float
    ) -> None:
        """A front that starts at `now` and knows no members yet."""
        self.config, self.identity, self.configured_fronts = config, identity, tier.fronts
        context = Context(config, RandomSource(seed), LocalHealth(), GossipQueue(), Counter())
        self.random, self.health = context.random, context.health
        self.gossip, self.counts = context.gossip, context.counts
        self.local = LocalMember(identity)
        self.table = MemberTable(self.local, self.random, now)
        self.members, self.changes = self.table.members, self.table.changes
        self.outbox = Outbox(self.local, self.table, self.gossip)
        self.prober = Prober(context, self.table, self.outbox)
        self.suspicions = Suspicions(context, self.table, self.prober)
        self.anti_entropy = AntiEntropy(context, self.table, self.outbox)
        self.conflicts = NameConflicts(context, self.outbox, self.prober)
        self.merger = Merger(context, self.table, self.suspicions, self.conflicts)
        self.discovery = PeerDiscovery(self.table, self.prober, tier.peers)
        self.round_at, self.reconnect_at, self.last_tick_at = now, now, now
        # Whether any member has acknowledged this front since the start.
        self.joined = False
        self.last_isolation_reason = NOT_JOINED
        self.serving_changed_at = NEVER

    # Events

    def check_for_pause(self, now: float) -> bool:
        """Must be called before any other event of the same moment.

        Whether the process was paused: then datagrams that wait at its socket are outdated and must be
        discarded.
        """
        gap, self.last_tick_at = now - self.last_tick_at, now
        late = gap - self.config.period
        self.health.lateness = max(late, 0.0)
        if gap <= self.config.pause_threshold:
            if late > self.config.period / 2:
                # While the event loop was blocked, acknowledgements waited at the socket, so no member may be
                # accused for their absence.
                self.health.worsen(1)
                self.postpone(late)
            return False
        self.counts["held up"] += 1
        self.health.worsen(2)
        self.postpone(gap)
        self.prober.probes.clear()
        self.anti_entropy.abandon()
        self.suspicions.withdraw(now)
        # The view must not be acted on until the whole list of another member has been read.
        self.anti_entropy.stale = self.joined
        self.health.note_contact(now)
        return True

    def postpone(self, seconds: float) -> None:
        """Extend probe timeouts and suspicions by as much as this front itself was late."""
        self.prober.postpone(seconds)
        self.suspicions.postpone(seconds)

    def tick(self, now: float) -> list[Send]:
        """Do what is due at `now`. All datagrams received before must have been handled."""
        self.outbox.begin_event()
        if self.conflicts.newer_process:
            return []
        reason = self.isolation_reason(now)
        if reason != self.last_isolation_reason:
            path = reason or "together"
            self.table.record_own_change(now, self.local.state, BY_ITSELF, path, self.health.lateness)
            if reason:
                self.suspicions.withdraw(now)
            self.last_isolation_reason = reason
        for member, probe in self.prober.expire(now):
            self.handle_probe_failure(now, member, probe)
        self.suspicions.expire(now, bool(reason))
        if now >= self.round_at:
            self.begin_round(now)
        if now >= self.reconnect_at:
            self.reconnect_at = now + self.config.reconnect_interval
            self.discovery.reconnect(now)
            self.forget(now)
        self.anti_entropy.retry(now)
        return self.outbox.sends

    def next_tick_at(self) -> float:
        """The time of the next tick."""
        if self.conflicts.newer_process:
            return self.last_tick_at + STOOD_DOWN_INTERVAL
        return min(self.round_at, self.prober.next_due(self.round_at))

    def handle_message(
        self, now: float, source: Address, message: Message, updates: tuple[GossipUpdate, ...]
    ) -> list[Send]:
        """Handle a valid message of this tier; returns the messages to send."""
        self.outbox.begin_event()
        if self.conflicts.newer_process:
            return []
        if message.name == self.identity.name:
            self.conflicts.handle_namesake(now, source, message)
        elif self.is_current(source, message):
            self.process(now, source, message, updates)
        return self.outbox.sends

    def set_serving(self, now: float, serves: bool) -> None:
        """Announce whether this front serves its clients; at most once per `SERVING_INTERVAL`."""
        state = State.ALIVE if serves else State.UNFIT
        if self.local.state not in (State.ALIVE, State.UNFIT) or state is self.local.state:
            return
        if now - self.serving_changed_at < SERVING_INTERVAL:
            return
        self.local.state, self.serving_changed_at = state, now
        self.outbox.announce(self.local.incarnation + 1)
        path = "serves" if serves else "serves nobody"
        self.table.record_own_change(now, state, BY_ITSELF, path)

    def leave(self, now: float) -> list[Send]:
        """Announce that this front leaves (on SIGTERM) to enough members for gossip to reach the rest."""
        self.outbox.begin_event()
        self.local.state = State.LEFT
        self.outbox.announce(self.local.incarnation)
        living = [member for member in self.members.values() if member.is_alive]
        for _ in range(min(len(living), self.outbox.transmissions_per_update())):
            member = living.pop(self.random.below(len(living)))
            self.outbox.send(member, MessageKind.PING, self.random.nonce())
        return self.outbox.sends

    def set_peers(self, now: float, peers: tuple[Address, ...]) -> None:
        """Replace the configured peers. New ones are contacted at the next tick; known members stay as long
        as they answer.
        """
        self.discovery.set_peers(peers)
        self.reconnect_at = min(self.reconnect_at, now)

    # View

    def isolation_reason(self, now: float) -> str:
        """Why this front must not act on its view, or an empty string."""
        if self.conflicts.newer_process:
            return self.conflicts.stand_down_reason()
        if not self.discovery.peers and not self.members:
            return "no peers"
        if not self.joined:
            return NOT_JOINED
        if self.health.is_isolated(now, self.config.isolation_timeout):
            return "nobody answers"
        return "held up, view not renewed" if self.anti_entropy.stale else ""

    def view(self, now: float) -> View:
        """The number of fronts by state; the configured number if the view must not be acted on."""
        reason = self.isolation_reason(now)
        living = [member for member in self.members.values() if member.is_alive]
        # Recent deaths still count as fronts: if a death were refuted a moment later, the shares of the
        # remaining fronts would have grown in between.
        recent_deaths = sum(
            member.state is State.DEAD and now - member.since < self.config.death_grace
            for member in self.members.values()
        )
        alive = 1 + len(living)
        return View(
            reason,
            self.configured_fronts if reason else alive + recent_deaths,
            alive,
            sum(member.state is State.SUSPECTED for member in living),
            sum(member.state is State.UNFIT for member in living) + (self.local.state is State.UNFIT),
        )

    # Steps of a tick

    def begin_round(self, now: float) -> None:
        """Contact peers that are not known yet, and probe two members."""
        # Missed rounds are not made up for.
        self.round_at = max(self.round_at + self.config.period, now + self.config.period / 2)
        if not self.joined or len(self.members) < len(self.discovery.peers):
            self.discovery.ping_unknown(now)
        self.prober.begin_round(now)

    def forget(self, now: float) -> None:
        """Drop members long gone, old refutations, and pings that can no longer be acknowledged."""
        for name in self.table.forget(now, self.config.forget_after):
            self.gossip.drop(name)
        self.table.forget_refutations(now)
        self.prober.forget_unawaited(now)

    def handle_probe_failure(self, now: float, member: Member, probe: Probe) -> None:
        """Accuse a member that acknowledged neither directly nor through others.

        No accusation is made if the fault may lie with this front.
        """
        self.counts["probes failed"] += 1
        # Members that are asked to probe always reply. If none of them did, it is this front that receives
        # nothing.
        nobody_replied = probe.indirect_requests and not probe.nacks
        if nobody_replied:
            self.health.worsen(1)
        if self.isolation_reason(now) or self.health.multiplier() > 1 and nobody_replied:
            return
        waited = now - probe.at
        path = f"no answer in {waited:.3f} s, nor to {probe.indirect_requests} others ({probe.nacks} said so)"
        self.suspicions.accuse(now, member, self.local.tag, self.identity.name, path)

    # Steps of handling a message

    def is_current(self, source: Address, message: Message) -> bool:
        """Whether a message is from its sender's present start and not a replay. Rejected ones are
        counted.
        """
        member = self.members.get(message.name)
        if member is None:
            return True
        if message.life != member.life and message.incarnation <= member.incarnation:
            # A late datagram from before a restart must not pass for one from the present process.
            self.counts["of a former life"] += 1
            if message.kind is MessageKind.PING:
                # A process that restarted with its clock set back has a lower `life`. The reply tells it
                # which incarnation it has to exceed; otherwise it would never rejoin.
                self.outbox.send_to(source, MessageKind.ACK, message.nonce, first=member.to_update())
            return False
        if message.life == member.life and not accept_sequence_number(member, message.count):
            self.counts["replayed or too late"] += 1
            return False
        return True

    def process(
        self, now: float, source: Address, message: Message, updates: tuple[GossipUpdate, ...]
    ) -> None:
        """Handle a current message: merge its updates, respond to it, and compare digests."""
        known = self.members.get(message.name)
        # Only a dead member counts as returned. A leaving member still answers, and each answer would start
        # another pull of its list.
        returned = known is not None and known.state is State.DEAD
        sender = self.merger.observe_sender(now, source, message)
        if sender is None:
            self.counts["past the bound"] += 1
            return
        for update in updates:
            self.merger.merge(now, update, message.name)
        self.respond_to(now, source, sender, message)
        self.anti_entropy.compare_digests(now, source, message.digest, returned)

    def respond_to(self, now: float, source: Address, sender: Member, message: Message) -> None:
        """Respond to a message according to its kind."""
        match message.kind:
            case MessageKind.PING:
                self.outbox.send(sender, MessageKind.ACK, message.nonce, to=source)
            case MessageKind.ACK:
                self.handle_ack(now, sender, message)
            case MessageKind.PING_REQUEST:
                self.prober.probe_on_behalf(now, source, message)
            case MessageKind.NACK:
                self.prober.handle_nack(message.nonce)
            case MessageKind.LIST_REQUEST:
                self.anti_entropy.send_page(sender, message)
            case MessageKind.LIST:
                self.anti_entropy.handle_page(now, source, message)

    def handle_ack(self, now: float, sender: Member, message: Message) -> None:
        """Handle the acknowledgement of a ping: it shows that messages from this front arrive."""
        if self.conflicts.check_nonce and message.nonce == self.conflicts.check_nonce:
            return
        if not self.prober.handle_ack(now, sender, message):
            return
        sender.answered_at = now
        self.health.note_contact(now)
        if not self.joined:
            self.joined = True
            self.anti_entropy.request(now, sender.address)
