"""Probes of members: direct, and through other members if there is no acknowledgement (SWIM)."""

from __future__ import annotations

from collections.abc import Iterator

from thistlelever.membership.context import Context
from thistlelever.membership.member import NEVER, Member
from thistlelever.membership.outbox import Outbox
from thistlelever.membership.table import MemberTable
from thistlelever.membership.types import Address
from thistlelever.wire.peers import Message, MessageKind

# Number of times a probe is retried, directly and indirectly, before it fails.
MAX_RETRIES = 2
# Extra retries, one per recent refutation by the member, up to this number.
MAX_EXTRA_RETRIES = 2
# An acknowledgement up to this many seconds after the probe ended still shows that the sender is alive.
LATE_ACK_LIMIT = 1.0
# No probe on behalf of others starts while more than this many are in flight, plus so many per verifier.
MAX_IN_FLIGHT, MAX_IN_FLIGHT_PER_VERIFIER = 64, 4


def max_retries(member: Member) -> int:
    """Number of retries before a probe of this member fails.

    Over a link that stays broken every probe depends on indirect paths, which packet loss often breaks;
    without extra retries the member would be suspected again and again.
    """
    return MAX_RETRIES + min(len(member.refuted_at), MAX_EXTRA_RETRIES)


class Probe:
    """A ping in flight, sent for this front itself or on behalf of another."""

    __slots__ = (
        "name",
        "at",
        "due_at",
        "retries",
        "indirect_requests",
        "nacks",
        "requester",
        "requester_nonce",
    )

    def __init__(
        self, name: str, at: float, due_at: float, requester: Address | None = None, requester_nonce: int = 0
    ) -> None:
        """A probe that has just been sent; `requester` is the front that asked for it, if any."""
        self.name, self.at, self.due_at = name, at, due_at
        self.retries, self.indirect_requests, self.nacks = 0, 0, 0
        self.requester, self.requester_nonce = requester, requester_nonce


class Prober:
    """All probes in flight, and pings that no probe waits for."""

    def __init__(self, context: Context, table: MemberTable, outbox: Outbox) -> None:
        """No probes in flight."""
        self.table, self.outbox = table, outbox
        self.config, self.random, self.health = context.config, context.random, context.health
        self.counts = context.counts
        self.probes: dict[int, Probe] = {}
        # Pings without a probe, with the time at which they were sent or given up: pings to configured
        # addresses, and probes that failed recently.
        self.unawaited: dict[int, float] = {}

    def next_due(self, default: float) -> float:
        """The time at which the first probe is due, or `default` if none is in flight."""
        return min((probe.due_at for probe in self.probes.values()), default=default)

    def postpone(self, seconds: float) -> None:
        """Extend the timeouts of all probes in flight."""
        for probe in self.probes.values():
            probe.due_at += seconds

    def probed_names(self) -> set[str]:
        """Names of the members that this front currently probes for itself."""
        return {probe.name for probe in self.probes.values() if probe.requester is None}

    def begin_round(self, now: float) -> None:
        """Probe two members: the next on the ring and the next in the shuffled order.

        A member that is already being probed is skipped.
        """
        probed = self.probed_names()
        order, members = self.table.order, self.table.members
        names = (
            order.next_in_ring(probed, self.table.suspected),
            order.next_shuffled(probed, self.table.is_alive),
        )
        for name in names:
            if name and name not in probed:
                probed.add(name)
                self.probe(now, members[name])

    def probe(self, now: float, member: Member) -> None:
        """Ping a member and wait for its acknowledgement."""
        nonce = self.random.nonce()
        due_at = now + self.config.probe_timeout * self.health.multiplier()
        self.probes[nonce] = Probe(member.name, now, due_at)
        self.health.unanswered += 1
        self.outbox.send(member, MessageKind.PING, nonce)

    def probe_on_behalf(self, now: float, requester: Address, message: Message) -> None:
        """Probe a member for another front that got no acknowledgement from it."""
        member = self.table.get(message.place)
        bound = MAX_IN_FLIGHT_PER_VERIFIER * self.config.verifiers + MAX_IN_FLIGHT
        if member is None or len(self.probes) > bound:
            self.counts["asked for what can't be tried"] += 1
            return
        nonce = self.random.nonce()
        due_at = now + self.config.probe_timeout
        self.probes[nonce] = Probe(member.name, now, due_at, requester, message.nonce)
        self.outbox.send(member, MessageKind.PING, nonce)

    def ping_address(self, now: float, address: Address, nonce: int = 0) -> None:
        """Ping an address without waiting for the acknowledgement."""
        nonce = nonce or self.random.nonce()
        self.unawaited[nonce] = now
        if member := self.table.at_address(address):
            self.outbox.send(member, MessageKind.PING, nonce)
        else:
            self.outbox.send_to(address, MessageKind.PING, nonce)

    def expire(self, now: float) -> Iterator[tuple[Member, Probe]]:
        """Handle the probes that are due: retry them, or yield those that have failed."""
        for nonce, probe in [(n, p) for n, p in self.probes.items() if p.due_at <= now]:
            member = self.table.get(probe.name)
            if probe.requester is not None:
                del self.probes[nonce]
                self.reply_to_requester(probe, MessageKind.NACK)
            elif member is None or not member.is_alive:
                del self.probes[nonce]
            elif probe.retries < max_retries(member):
                self.retry(now, nonce, probe, member)
            else:
                del self.probes[nonce]
                self.unawaited[nonce] = now
                yield member, probe

    def retry(self, now: float, nonce: int, probe: Probe, member: Member) -> None:
        """Ask other members to probe this one, and ping it directly once more."""
        probe.retries += 1
        probe.indirect_requests += self.request_indirect_probes(nonce, member)
        # Also directly: the loss of a single datagram is the most likely reason.
        self.outbox.send(member, MessageKind.PING, nonce)
        share = 1 if probe.retries == max_retries(member) else 2
        probe.due_at = now + self.config.indirect_timeout / share * self.health.multiplier()

    def request_indirect_probes(self, nonce: int, member: Member) -> int:
        """Ask randomly chosen members to probe this one; returns how many were asked.

        A broken link between two fronts must not make either of them look dead.
        """
        suspected = self.table.suspected
        names = [n for _, n in self.table.order.ring if n != member.name and n not in suspected]
        asked = min(self.config.indirect_probes, len(names))
        for _ in range(asked):
            helper = self.table.members[names.pop(self.random.below(len(names)))]
            self.outbox.send(helper, MessageKind.PING_REQUEST, nonce, place=member.name)
        return asked

    def reply_to_requester(self, probe: Probe, kind: MessageKind) -> None:
        """Tell the requester of a probe whether the member acknowledged it."""
        if requester := self.table.at_address(probe.requester):
            self.outbox.send(requester, kind, probe.requester_nonce, place=probe.name, to=probe.requester)

    def handle_nack(self, nonce: int) -> None:
        """A member that was asked to probe got no acknowledgement either."""
        if probe := self.probes.get(nonce):
            probe.nacks += 1

    def handle_ack(self, now: float, sender: Member, message: Message) -> bool:
        """Handle an acknowledgement; whether it shows that the sender receives messages from this front."""
        probe = self.probes.get(message.nonce)
        if probe is None or probe.name not in (message.name, message.place):
            # The acknowledgement of a ping without a probe, or one that is slightly late. A much later one
            # says nothing about the present.
            return now - self.unawaited.pop(message.nonce, NEVER) < LATE_ACK_LIMIT and not message.place
        del self.probes[message.nonce]
        if probe.requester is not None:
            self.reply_to_requester(probe, MessageKind.ACK)
            sender.answered_at = now
            return False
        self.counts["probes answered by way of others" if message.place else "probes answered"] += 1
        self.health.improve()
        if target := self.table.get(probe.name):
            target.answered_at = now
        return True

    def forget_unawaited(self, now: float) -> None:
        """Drop pings whose acknowledgements would come too late."""
        self.unawaited = {nonce: at for nonce, at in self.unawaited.items() if now - at < LATE_ACK_LIMIT}
