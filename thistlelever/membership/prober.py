"""Probes of other fronts: straight, and by way of others where there is no answer (SWIM)."""

from __future__ import annotations

from collections.abc import Iterator

from thistlelever.membership.context import Context
from thistlelever.membership.member import NEVER, Member
from thistlelever.membership.outbox import Outbox
from thistlelever.membership.table import MemberTable
from thistlelever.membership.types import Address
from thistlelever.wire.peers import Message, MessageKind

# How often a probe without an answer is tried again, straight and by way of others, before it has failed.
MAX_RETRIES = 2
# Once more for each time that the member refuted a suspicion lately, up to so many times.
MAX_EXTRA_RETRIES = 2
# An answer that comes so long after it was given up still says that its sender lives.
LATE_ACK_LIMIT = 1.0
# Probes in flight beyond which none is begun for others: so many, and so many for each witness.
MAX_IN_FLIGHT, MAX_IN_FLIGHT_PER_VERIFIER = 64, 4


def max_retries(member: Member) -> int:
    """How often a probe of this member is tried again before it has failed.

    Risk: over a link that is broken for long all depends on detours, which loss breaks again and again.
    """
    return MAX_RETRIES + min(len(member.refuted_at), MAX_EXTRA_RETRIES)


class Probe:
    """A ping that is in flight: for this front's own sake, or for another's that asked."""

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
        """A probe that was sent just now; `requester` is who wants it, where that is not this front."""
        self.name, self.at, self.due_at = name, at, due_at
        self.retries, self.indirect_requests, self.nacks = 0, 0, 0
        self.requester, self.requester_nonce = requester, requester_nonce


class Prober:
    """All probes in flight, and the pings that no probe waits for."""

    def __init__(self, context: Context, table: MemberTable, outbox: Outbox) -> None:
        """Nothing in flight yet."""
        self.table, self.outbox = table, outbox
        self.config, self.random, self.health = context.config, context.random, context.health
        self.counts = context.counts
        self.probes: dict[int, Probe] = {}
        # Pings that no probe waits for, by when they were sent or given up: to members that are not known,
        # and those that failed a moment ago.
        self.unawaited: dict[int, float] = {}

    def next_due(self, default: float) -> float:
        """When the first probe in flight is due, or the default where that is none."""
        return min((probe.due_at for probe in self.probes.values()), default=default)

    def postpone(self, seconds: float) -> None:
        """All probes in flight are due later."""
        for probe in self.probes.values():
            probe.due_at += seconds

    def probed_names(self) -> set[str]:
        """The names of members that this front waits for an answer from, for its own sake."""
        return {probe.name for probe in self.probes.values() if probe.requester is None}

    def begin_round(self, now: float) -> None:
        """Probe two members: the next in the ring and the next of the shuffled order.

        Nobody is probed twice at once.
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
        """Ping a member and wait for its answer."""
        nonce = self.random.nonce()
        due_at = now + self.config.probe_timeout * self.health.multiplier()
        self.probes[nonce] = Probe(member.name, now, due_at)
        self.health.unanswered += 1
        self.outbox.send(member, MessageKind.PING, nonce)

    def probe_on_behalf(self, now: float, requester: Address, message: Message) -> None:
        """Another front has no answer from a member and asks this one to try."""
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
        """Ping whoever is at an address; no probe waits for the answer."""
        nonce = nonce or self.random.nonce()
        self.unawaited[nonce] = now
        if member := self.table.at_address(address):
            self.outbox.send(member, MessageKind.PING, nonce)
        else:
            self.outbox.send_to(address, MessageKind.PING, nonce)

    def expire(self, now: float) -> Iterator[tuple[Member, Probe]]:
        """Retry the probes that are due; those that have failed are handed out one by one."""
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
        """Ask others to probe the member, and ping it once more."""
        probe.retries += 1
        probe.indirect_requests += self.request_indirect_probes(nonce, member)
        # And once more straight: of all that fails, a single loss is the likeliest.
        self.outbox.send(member, MessageKind.PING, nonce)
        share = 1 if probe.retries == max_retries(member) else 2
        probe.due_at = now + self.config.indirect_timeout / share * self.health.multiplier()

    def request_indirect_probes(self, nonce: int, member: Member) -> int:
        """How many were asked to probe it for this front: a broken link between two is nobody's death."""
        suspected = self.table.suspected
        names = [n for _, n in self.table.order.ring if n != member.name and n not in suspected]
        asked = min(self.config.indirect_probes, len(names))
        for _ in range(asked):
            helper = self.table.members[names.pop(self.random.below(len(names)))]
            self.outbox.send(helper, MessageKind.PING_REQUEST, nonce, place=member.name)
        return asked

    def reply_to_requester(self, probe: Probe, kind: MessageKind) -> None:
        """Tell who asked for the probe whether the member answered."""
        if requester := self.table.at_address(probe.requester):
            self.outbox.send(requester, kind, probe.requester_nonce, place=probe.name, to=probe.requester)

    def handle_nack(self, nonce: int) -> None:
        """One that was asked had no answer from the member either."""
        if probe := self.probes.get(nonce):
            probe.nacks += 1

    def handle_ack(self, now: float, sender: Member, message: Message) -> bool:
        """Take an answer to a ping; whether it says that the sender hears this front."""
        probe = self.probes.get(message.nonce)
        if probe is None or probe.name not in (message.name, message.place):
            # To a ping of who was not known, or late by a moment; later it says nothing of now.
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
        """Forget pings whose answers would come too late."""
        self.unawaited = {nonce: at for nonce, at in self.unawaited.items() if now - at < LATE_ACK_LIMIT}
