"""The member table, where members are added, change state and are forgotten."""

from __future__ import annotations

from zlib import crc32

from thistlelever.membership.local import LocalMember
from thistlelever.membership.member import MAX_CHANGES, NEVER, Member
from thistlelever.membership.probe_order import ProbeOrder
from thistlelever.membership.random_source import RandomSource
from thistlelever.membership.types import Address, Change
from thistlelever.wire.peers import State

# Refutations within this many seconds lengthen the next suspicion of the same member.
REFUTATION_MEMORY = 60.0


def digest_of(name: str, incarnation: int) -> int:
    """One living member's contribution to the digest of a view: 32 bits."""
    return crc32(b"%s %d" % (name.encode(), incarnation))


class MemberTable:
    """All members known to this front, except itself."""

    def __init__(self, local: LocalMember, random: RandomSource, now: float) -> None:
        """An empty table."""
        self.local = local
        self.members: dict[str, Member] = {}
        self.by_address: dict[Address, str] = {}
        self.order = ProbeOrder((local.tag, local.identity.name), random)
        # Names of suspected members in the order of suspicion. A dict, as the order of a set would differ
        # between processes.
        self.suspected: dict[str, None] = {}
        # Changes not yet collected by the carrier.
        self.changes: list[Change] = []
        self.digest, self.changed_at = 0, now

    @property
    def alive_count(self) -> int:
        """Number of members taken to be alive."""
        return len(self.order.ring)

    def get(self, name: str) -> Member | None:
        """The member of that name, or None."""
        return self.members.get(name)

    def at_address(self, address: Address) -> Member | None:
        """The member at that address, or None."""
        return self.members.get(self.by_address.get(address, ""))

    def is_alive(self, name: str) -> bool:
        """Whether a member of that name is known and taken to be alive."""
        member = self.members.get(name)
        return member is not None and member.is_alive

    def add(self, now: float, member: Member, by: str, path: str) -> None:
        """Add a new member, which is taken to be alive."""
        self.members[member.name] = member
        self.by_address[member.address] = member.name
        self.order.add(member.name)
        self.toggle_in_digest(now, member)
        self.record_change(Change(now, member.name, State.ALIVE, None, by, path, 0.0))

    def raise_incarnation(
        self, now: float, member: Member, address: Address, incarnation: int, life: int
    ) -> None:
        """Apply a higher incarnation: the member refuted an accusation, or came back, or was restarted.

        A restart (another `life`) resets its sequence numbers and its last acknowledgement.
        """
        if member.is_alive:
            self.toggle_in_digest(now, member)
        if member.state in (State.SUSPECTED, State.DEAD) and life == member.life:
            member.refuted_at = (*member.refuted_at, now)
        if life != member.life:
            member.last_number, member.numbers_seen, member.answered_at = 0, 0, NEVER
        self.release_address(member)
        member.address, member.incarnation, member.life = address, incarnation, life
        self.by_address[address] = member.name
        if member.is_alive:
            self.toggle_in_digest(now, member)

    def set_state(self, now: float, member: Member, state: State, by: str, path: str) -> None:
        """Change the state of a member; the only place that does so."""
        was, was_alive = member.state, member.is_alive
        if state is not State.SUSPECTED:
            self.suspected.pop(member.name, None)
            member.clear_accusations()
        if was is state:
            return
        late = now - member.since if state is State.DEAD else 0.0
        member.state, member.since = state, now
        if was_alive != member.is_alive:
            self.toggle_in_digest(now, member)
            if was_alive:
                self.order.remove(member.name)
            else:
                self.order.add(member.name)
        self.record_change(Change(now, member.name, state, was, by, path, late))

    def record_change(self, change: Change) -> None:
        """Record a change of a member or of this front, for the carrier and for `views.explain`."""
        if member := self.members.get(change.name):
            member.changes = (*member.changes, change)[-MAX_CHANGES:]
        self.changes.append(change)

    def record_own_change(self, now: float, state: State, by: str, path: str, late: float = 0.0) -> None:
        """Record a change of this front itself."""
        self.record_change(Change(now, self.local.identity.name, state, None, by, path, late))

    def forget_refutations(self, now: float) -> None:
        """Drop refutations older than `REFUTATION_MEMORY`, so that they lengthen no further suspicion."""
        for member in self.members.values():
            if member.refuted_at and member.refuted_at[0] <= now - REFUTATION_MEMORY:
                member.refuted_at = tuple(at for at in member.refuted_at if at > now - REFUTATION_MEMORY)

    def forget(self, now: float, after: float) -> list[str]:
        """Drop members that have been dead or gone for more than `after` seconds; returns their names."""
        gone = [m for m in self.members.values() if not m.is_alive and now - m.since > after]
        for member in gone:
            del self.members[member.name]
            self.release_address(member)
        return [member.name for member in gone]

    def release_address(self, member: Member) -> None:
        """Remove the address from the index, unless another member has taken it over."""
        if self.by_address.get(member.address) == member.name:
            del self.by_address[member.address]

    def toggle_in_digest(self, now: float, member: Member) -> None:
        """Add a member to the digest or remove it (XOR). Views with the same living members at the same
        incarnations have equal digests.
        """
        self.digest ^= digest_of(member.name, member.incarnation)
        self.changed_at = now

    def full_digest(self) -> int:
        """The digest including this front, as sent to others."""
        return self.digest ^ digest_of(self.local.identity.name, self.local.incarnation)
