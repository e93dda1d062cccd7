"""Updates that are to be passed on: of each member the newest, the least often sent first."""

from __future__ import annotations

from heapq import nsmallest

from msgspec import Raw

from thistlelever.wire.peers import Rumour, packed

# No frame has room for more.
MAX_UPDATES_A_FRAME = 12


class Update:
    """One update in the queue, packed once, and how often it was sent."""

    __slots__ = ("rumour", "raw", "sent", "number")

    def __init__(self, rumour: Rumour, number: int) -> None:
        """An update that was never sent."""
        self.rumour, self.raw, self.sent, self.number = rumour, packed(rumour), 0, number


class GossipQueue:
    """At most one update a member, so never more than there are members.

    Under churn what was sent least goes first and the newest of these: each gets its turns, and none is sent
    for ever.
    """

    def __init__(self) -> None:
        """An empty queue."""
        self.updates: dict[str, Update] = {}
        self.number = 0

    def add(self, rumour: Rumour) -> None:
        """Queue an update in place of any older one of the same member."""
        self.number += 1
        self.updates[rumour.name] = Update(rumour, self.number)

    def drop(self, name: str) -> None:
        """Pass on nothing more of this member."""
        self.updates.pop(name, None)

    def take(self, room: int, sends: int, first: Rumour | None = None) -> tuple[Raw, ...]:
        """As many as fit in `room` bytes; each is dropped once it was sent so many times.

        `first` goes in any case: what is said of the receiver, which alone can refute it.
        """
        taken: list[Raw] = []
        if first is not None:
            taken.append(packed(first))
            room -= len(taken[0])
        due = nsmallest(MAX_UPDATES_A_FRAME, self.updates.values(), key=lambda u: (u.sent, -u.number))
        for update in due:
            if first is not None and update.rumour.name == first.name or len(update.raw) > room:
                continue
            room -= len(update.raw)
            taken.append(update.raw)
            update.sent += 1
            if update.sent >= sends:
                del self.updates[update.rumour.name]
        return tuple(taken)
