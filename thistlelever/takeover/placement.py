"""Where the record of a batch lies: rendezvous hashing (Thaler and Ravishankar 1998) by xxHash over all
fronts that the configuration names, dead or alive, so that two fronts agree on it whatever they believe of
others."""

from __future__ import annotations

from heapq import nlargest

from xxhash import xxh3_64_intdigest

from thistlelever.takeover.facts import Address


class Placement:
    """The fronts of the tier by their addresses as others know them, this one among them."""

    def __init__(
        self, fronts: tuple[Address, ...], replica_count: int, local_address: Address | None = None
    ) -> None:
        self.set_fronts(fronts)
        self.replica_count, self.local_address = replica_count, local_address

    def set_fronts(self, fronts: tuple[Address, ...]) -> None:
        self.fronts = [(f"{host}:{port}|".encode(), (host, port)) for host, port in sorted(set(fronts))]

    def replicas_for(self, key: bytes) -> tuple[Address, ...]:
        """The places of a key, the first before the next: a front that is added or leaves moves only the keys
        that it gains or had."""
        nearest = nlargest(
            self.replica_count, self.fronts, key=lambda front: xxh3_64_intdigest(front[0] + key)
        )
        return tuple(address for _, address in nearest)
