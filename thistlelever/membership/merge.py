"""Merges messages and gossip from other fronts into the member table."""

from __future__ import annotations

from thistlelever.membership.context import Context
from thistlelever.membership.member import Member, accept_sequence_number
from thistlelever.membership.name_conflict import NameConflicts
from thistlelever.membership.suspicion import Suspicions
from thistlelever.membership.table import MemberTable
from thistlelever.membership.types import Address
from thistlelever.wire.peers import GossipUpdate, Message, State, address_of, tag

BY_GOSSIP = "rumour"
BY_DEATH_GOSSIP = "rumour of its death"
BY_ITSELF = "itself"


class Merger:
    """Merge rules: a higher incarnation wins, and at the same incarnation the worse state."""

    def __init__(
        self, context: Context, table: MemberTable, suspicions: Suspicions, conflicts: NameConflicts
    ) -> None:
        """Merge into `table`; updates about this front itself go to `conflicts`."""
        self.table, self.suspicions, self.conflicts = table, suspicions, conflicts
        self.config, self.gossip, self.counts = context.config, context.gossip, context.counts

    def observe_sender(self, now: float, source: Address, message: Message) -> Member | None:
        """The sender of a message, added or updated: it is alive at the incarnation that it names.

        None if the table is full.
        """
        name, incarnation, life = message.name, message.incarnation, message.life
        member = self.table.get(name)
        if member is None:
            if len(self.table.members) >= self.config.max_members:
                return None
            member = Member(name, source, incarnation, life, now)
            accept_sequence_number(member, message.count)
            self.table.add(now, member, name, BY_ITSELF)
            self.gossip.add(member.to_update())
        elif incarnation > member.incarnation:
            self.table.raise_incarnation(now, member, source, incarnation, life)
            accept_sequence_number(member, message.count)
            self.table.set_state(now, member, State.ALIVE, name, BY_ITSELF)
            self.gossip.add(member.to_update())
        return member

    def merge(self, now: float, update: GossipUpdate, by: str) -> None:
        """Merge one gossip update that `by` passed on."""
        if update.name == self.table.local.identity.name:
            self.conflicts.refute(now, update)
            return
        member = self.table.get(update.name)
        if member is None:
            member = self.add(now, update, by)
            if member is None or update.state is State.ALIVE:
                return
        if update.incarnation < member.incarnation:
            self.counts["old rumours"] += 1
            return
        newer = update.incarnation > member.incarnation
        if newer or update.state > member.state:
            self.replace(now, member, update, newer, by)
        elif update.state is State.SUSPECTED is member.state:
            self.suspicions.accuse(now, member, update.accuser, by, BY_GOSSIP)

    def add(self, now: float, update: GossipUpdate, by: str) -> Member | None:
        """Add an unknown member; None if it is dead or has left, or if the table is full."""
        gone = update.state in (State.DEAD, State.LEFT)
        if gone or len(self.table.members) >= self.config.max_members:
            return None
        address = address_of(update.address)
        member = Member(update.name, address, update.incarnation, update.life, now)
        self.table.add(now, member, by, BY_GOSSIP)
        self.gossip.add(member.to_update())
        return member

    def replace(self, now: float, member: Member, update: GossipUpdate, newer: bool, by: str) -> None:
        """Apply an update that outweighs the current belief."""
        if newer:
            self.table.raise_incarnation(
                now, member, address_of(update.address), update.incarnation, update.life
            )
        if update.state is State.SUSPECTED:
            if newer:
                self.table.set_state(now, member, State.ALIVE, by, BY_GOSSIP)
            self.suspicions.accuse(now, member, update.accuser, by, BY_GOSSIP)
        elif update.state is State.DEAD and member.is_alive:
            # Departs from SWIM: a gossiped death counts as one more accusation instead of being believed at
            # once. After a network partition has healed it may come from the other side, where the member was
            # unreachable and could not refute it.
            self.counts["deaths by hearsay"] += 1
            self.suspicions.accuse_by_reported_death(now, member, tag(by), by, BY_DEATH_GOSSIP)
        else:
            self.table.set_state(now, member, update.state, by, BY_GOSSIP)
            self.gossip.add(member.to_update())
