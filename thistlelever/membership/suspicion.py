"""Suspicions: before a member is held dead it is accused for a while, and can refute it."""

from __future__ import annotations

from math import log, log10

from thistlelever.membership.context import Context
from thistlelever.membership.member import Member
from thistlelever.membership.prober import Prober
from thistlelever.membership.table import MemberTable
from thistlelever.wire.peers import State

# A member that was suspected and refuted it lately is given longer, up to so many times.
MAX_REFUTATION_FACTOR = 4
# A death by hearsay is believed at the earliest so many suspicions after the member's last answer.
ANSWERED_FACTOR = 2


class Suspicions:
    """Begins, shortens, withdraws and ends suspicions."""

    def __init__(self, context: Context, table: MemberTable, prober: Prober) -> None:
        """Nobody is suspected; the names of those that are stand in the table."""
        self.table, self.prober = table, prober
        self.config, self.random, self.health = context.config, context.random, context.health
        self.gossip, self.counts = context.gossip, context.counts

    def accuse(self, now: float, member: Member, accuser: int, by: str, path: str) -> None:
        """One more accuser; the first begins a suspicion."""
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
        """The first accusation of a member; perhaps this front sees for itself."""
        member.accusers = frozenset((accuser,))
        self.table.set_state(now, member, State.SUSPECTED, by, path)
        self.table.suspected[member.name] = None
        member.deadline = now + self.duration(member)
        own = by == self.table.local.identity.name
        if not own and self.random.below(self.table.alive_count or 1) < self.config.verifiers:
            # Not in SWIM: some of those that hear of a suspicion see for themselves. Each is one more way for
            # the refutation to get out, and one more accuser where there is none.
            self.prober.probe(now, member)

    def accuse_by_reported_death(self, now: float, member: Member, accuser: int, by: str, path: str) -> None:
        """One more accuser, and this front sees for itself: its ping tells the member what to refute.

        From the beginning of this front's own suspicion it has as long as with all accusers, as whoever says
        that it is dead has waited for the rest; and longer where it answered this front a moment ago.
        """
        self.accuse(now, member, accuser, by, path)
        confirmed = member.since + self.base_duration(self.config.accusers)
        unanswered = member.answered_at + ANSWERED_FACTOR * self.base_duration(1)
        member.deadline = min(member.deadline, max(confirmed, unanswered))
        if member.name not in self.prober.probed_names():
            self.prober.probe(now, member)

    def duration(self, member: Member) -> float:
        """How long it has to refute; longer for who refuted lately: a bound on how often one flaps."""
        return self.base_duration(len(member.accusers)) * min(
            1 + len(member.refuted_at), MAX_REFUTATION_FACTOR
        )

    def base_duration(self, accusers: int) -> float:
        """How long one that did not refute lately has, with so many accusers.

        Longer in a larger tier, where word takes longer (SWIM), shorter with each further accuser
        (Lifeguard).
        """
        size_factor = max(1.0, log10(self.table.alive_count + 2))
        longest = self.config.suspicion_timeout * size_factor * self.health.multiplier()
        confirmed = log(accusers) / log(self.config.accusers) if accusers > 1 else 0.0
        return longest * (1 - confirmed / 2)

    def expire(self, now: float, isolated: bool) -> None:
        """Members whose time to refute is over are held dead, unless this front can't tell."""
        members = self.table.members
        for name in [name for name in self.table.suspected if members[name].deadline <= now]:
            member = members[name]
            if isolated:
                member.deadline = now + self.duration(member)
            elif self.health.may_be_isolated(now, self.config.isolation_timeout):
                # Risk: a suspicion may end before a patient front knows that it is alone.
                member.deadline = now + self.config.period
            elif member.answered_at > member.since:
                # Departs from SWIM: nobody takes for dead whom it has itself heard since the suspicion began.
                self.counts["doubts that an answer put off"] += 1
                member.since, member.deadline = now, now + self.duration(member)
                self.prober.probe(now, member)
            else:
                by, path = self.table.local.identity.name, f"{len(member.accusers)} accusers"
                self.table.set_state(now, member, State.DEAD, by, path)
                self.gossip.add(member.to_update())

    def postpone(self, seconds: float) -> None:
        """All who are suspected have so much longer to refute."""
        for name in self.table.suspected:
            self.table.members[name].deadline += seconds

    def withdraw(self, now: float) -> None:
        """Take back what this front alone holds against others: it was not in a state to tell."""
        local = self.table.local
        for name in list(self.table.suspected):
            member = self.table.members[name]
            if member.accusers == {local.tag}:
                self.gossip.drop(name)
                path = "withdrawn: own health"
                self.table.set_state(now, member, State.ALIVE, local.identity.name, path)
