"""Updates that are to be passed on: of each member the newest, the least often sent first."""

from __future__ import annotations

from heapq import nsmallest

from msgspec import Raw

from thistlelever.wire.peers import GossipUpdate, encode_update

# No frame has room for more.
MAX_UPDATES_PER_FRAME = 12


class QueuedUpdate:
    """One update in the queue, packed once, and how often it was sent."""

    __slots__ = ("update", "encoded", "sent", "sequence")

    def __init__(self, update: GossipUpdate, sequence: int) -> None:
        """An update that was never sent."""
        self.update, self.encoded, self.sent, self.sequence = update, encode_update(update), 0, sequence


class GossipQueue:
    """At most one update a member, so never more than there are members.

    Under churn what was sent least goes first and the newest of these: each gets its turns, and none is sent
    for ever.
    """

    def __init__(self) -> None:
        """An empty queue."""
        self.updates: dict[str, QueuedUpdate] = {}
        self.sequence = 0

    def add(self, update: GossipUpdate) -> None:
        """Queue an update in place of any older one of the same member."""
        self.sequence += 1
        self.updates[update.name] = QueuedUpdate(update, self.sequence)

    def drop(self, name: str) -> None:
        """Pass on nothing more of this member."""
        self.updates.pop(name, None)

    def take(self, room: int, max_sends: int, first: GossipUpdate | None = None) -> tuple[Raw, ...]:
        """As many as fit in `room` bytes; each is dropped once it was sent so many times.

        `first` goes in any case: what is said of the receiver, which alone can refute it.
        """
        taken: list[Raw] = []
        if first is not None:
            taken.append(encode_update(first))
            room -= len(taken[0])
        due = nsmallest(MAX_UPDATES_PER_FRAME, self.updates.values(), key=lambda u: (u.sent, -u.sequence))
        for queued in due:
            if first is not None and queued.update.name == first.name or len(queued.encoded) > room:
                continue
            room -= len(queued.encoded)
            taken.append(queued.encoded)
            queued.sent += 1
            if queued.sent >= max_sends:
                del self.updates[queued.update.name]
        return tuple(taken)
