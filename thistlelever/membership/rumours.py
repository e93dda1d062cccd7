"""What there is to pass on: of each member the newest word, the least often sent first."""

from __future__ import annotations

from heapq import nsmallest

from msgspec import Raw

from thistlelever.wire.peers import Rumour, packed

# No frame has room for more.
MOST_A_FRAME = 12


class Item:
    __slots__ = ("rumour", "raw", "sent", "number")

    def __init__(self, rumour: Rumour, number: int) -> None:
        self.rumour, self.raw, self.sent, self.number = rumour, packed(rumour), 0, number


class Rumours:
    """At most one item a member, so never more than there are members. Under churn what was sent least goes
    first and the newest of these: each gets its turns, and none is sent for ever."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.number = 0

    def tell(self, rumour: Rumour) -> None:
        self.number += 1
        self.items[rumour.name] = Item(rumour, self.number)

    def drop(self, name: str) -> None:
        self.items.pop(name, None)

    def some(self, room: int, times: int, first: Rumour | None = None) -> tuple[Raw, ...]:
        """As many as fit in `room` bytes; each is let go once it was sent so many times. `first` goes in any
        case: what is said of the receiver, which alone can refute it."""
        found: list[Raw] = []
        if first is not None:
            found.append(packed(first))
            room -= len(found[0])
        for item in nsmallest(MOST_A_FRAME, self.items.values(), key=lambda i: (i.sent, -i.number)):
            if first is not None and item.rumour.name == first.name or len(item.raw) > room:
                continue
            room -= len(item.raw)
            found.append(item.raw)
            item.sent += 1
            if item.sent >= times:
                del self.items[item.rumour.name]
        return tuple(found)
