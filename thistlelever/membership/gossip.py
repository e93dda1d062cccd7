"""Queue of gossip updates to piggyback on messages: the newest per member, the least often sent first."""

from __future__ import annotations

from heapq import nsmallest

from msgspec import Raw

from thistlelever.wire.peers import GossipUpdate, encode_update

# More updates than this never fit into one frame.
MAX_UPDATES_PER_FRAME = 12


class QueuedUpdate:
    """An update, its encoding, how often it was sent, and its position in the order of arrival."""

    __slots__ = ("update", "encoded", "sent", "sequence")

    def __init__(self, update: GossipUpdate, sequence: int) -> None:
        """An update that has not been sent yet."""
        self.update, self.encoded, self.sent, self.sequence = update, encode_update(update), 0, sequence


class GossipQueue:
    """At most one update per member, so the queue is bounded by the size of the tier.

    Updates that were sent least often go first, and the newest among those. Under churn every update is still
    sent its full number of times, and none is sent for ever.
    """

    def __init__(self) -> None:
        """An empty queue."""
        self.updates: dict[str, QueuedUpdate] = {}
        self.sequence = 0

    def add(self, update: GossipUpdate) -> None:
        """Queue an update; it replaces an older one about the same member."""
        self.sequence += 1
        self.updates[update.name] = QueuedUpdate(update, self.sequence)

    def drop(self, name: str) -> None:
        """Remove the update about a member, if there is one."""
        self.updates.pop(name, None)

    def take(self, room: int, max_sends: int, first: GossipUpdate | None = None) -> tuple[Raw, ...]:
        """The encoded updates to send next, in at most `room` bytes.

        An update is removed once it has been sent `max_sends` times. `first` is always included: an
        accusation of the receiver, which only the receiver can refute, or the notice that this front leaves.
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
