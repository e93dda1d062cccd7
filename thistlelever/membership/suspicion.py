"""Suspicions: a member is accused for some time, in which it can refute, before it is held dead."""

from __future__ import annotations

from math import log, log10

from thistlelever.membership.context import Context
from thistlelever.membership.member import Member
from thistlelever.membership.prober import Prober
from thistlelever.membership.table import MemberTable
from thistlelever.wire.peers import State

# Recent refutations lengthen the next suspicion of a member by up to this factor.
MAX_REFUTATION_FACTOR = 4
# A gossiped death is believed no earlier than this many suspicion times after the last acknowledgement by the
# member.
ANSWERED_FACTOR = 2


class Suspicions:
    """Starts, shortens, withdraws and ends suspicions."""

    def __init__(self, context: Context, table: MemberTable, prober: Prober) -> None:
        """No suspicions. The table holds the names of suspected members."""
        self.table, self.prober = table, prober
        self.config, self.random, self.health = context.config, context.random, context.health
        self.gossip, self.counts = context.gossip, context.counts

    def accuse(self, now: float, member: Member, accuser: int, by: str, path: str) -> None:
        """Add an accuser; the first one starts a suspicion, further ones shorten it."""
        accusable = member.state in (State.ALIVE, State.UNFIT, State.SUSPECTED)
        if not accusable or accuser in member.accusers:
            return
        if member.state is not State.SUSPECTED:
            self.begin(now, member, accuser, by, path)
        elif len(member.accusers) < self.config.accusers:
            before = self.duration(member)
            member.accusers |= {accuser}
            member.deadline -= before - self.duration(member)
        else:
            return
        self.gossip.add(member.to_update(accuser))

    def begin(self, now: float, member: Member, accuser: int, by: str, path: str) -> None:
        """Start the suspicion of a member, and perhaps probe it from here."""
        member.accusers = frozenset((accuser,))
        self.table.set_state(now, member, State.SUSPECTED, by, path)
        self.table.suspected[member.name] = None
        member.deadline = now + self.duration(member)
        own = by == self.table.local.identity.name
        if not own and self.random.below(self.table.alive_count or 1) < self.config.verifiers:
            # Not in SWIM: some members that hear of a suspicion verify it with a probe of their own. Each
            # probe is another way for the refutation to spread, or yields another accuser.
            self.prober.probe(now, member)

    def accuse_by_reported_death(self, now: float, member: Member, accuser: int, by: str, path: str) -> None:
        """Count a gossiped death as an accusation, and probe the member, so that it learns what to refute.

        The deadline moves forward to that of a suspicion with all accusers, as the front that declared the
        death has waited for the rest; it moves less far if the member acknowledged a probe of this front
        recently.
        """
        self.accuse(now, member, accuser, by, path)
        confirmed = member.since + self.base_duration(self.config.accusers)
        unanswered = member.answered_at + ANSWERED_FACTOR * self.base_duration(1)
        member.deadline = min(member.deadline, max(confirmed, unanswered))
        if member.name not in self.prober.probed_names():
            self.prober.probe(now, member)

    def duration(self, member: Member) -> float:
        """Seconds a member has to refute. Recent refutations lengthen it, which limits how often a member can
        flap between states.
        """
        return self.base_duration(len(member.accusers)) * min(
            1 + len(member.refuted_at), MAX_REFUTATION_FACTOR
        )

    def base_duration(self, accusers: int) -> float:
        """Seconds a member without recent refutations has to refute, given the number of accusers.

        The time grows with the size of the tier, as gossip takes longer (SWIM), and shrinks with each further
        accuser (Lifeguard).
        """
        size_factor = max(1.0, log10(self.table.alive_count + 2))
        longest = self.config.suspicion_timeout * size_factor * self.health.multiplier()
        confirmed = log(accusers) / log(self.config.accusers) if accusers > 1 else 0.0
        return longest * (1 - confirmed / 2)

    def expire(self, now: float, isolated: bool) -> None:
        """Declare members dead whose suspicion has expired, unless this front may be the one at fault."""
        members = self.table.members
        for name in [name for name in self.table.suspected if members[name].deadline <= now]:
            member = members[name]
            if isolated:
                member.deadline = now + self.duration(member)
            elif self.health.may_be_isolated(now, self.config.isolation_timeout):
                # With a raised multiplier isolation is detected late, and a suspicion could expire before it
                # is.
                member.deadline = now + self.config.period
            elif member.answered_at > member.since:
                # Departs from SWIM: a member that has acknowledged a probe of this front since the suspicion
                # began is probed again instead.
                self.counts["doubts that an answer put off"] += 1
                member.since, member.deadline = now, now + self.duration(member)
                self.prober.probe(now, member)
            else:
                by, path = self.table.local.identity.name, f"{len(member.accusers)} accusers"
                self.table.set_state(now, member, State.DEAD, by, path)
                self.gossip.add(member.to_update())

    def postpone(self, seconds: float) -> None:
        """Extend the deadlines of all suspicions."""
        for name in self.table.suspected:
            self.table.members[name].deadline += seconds

    def withdraw(self, now: float) -> None:
        """End the suspicions whose only accuser is this front, as it was unable to tell."""
        local = self.table.local
        for name in list(self.table.suspected):
            member = self.table.members[name]
            if member.accusers == {local.tag}:
                self.gossip.drop(name)
                path = "withdrawn: own health"
                self.table.set_state(now, member, State.ALIVE, local.identity.name, path)
