"""Which fronts keep the record of a batch: rendezvous hashing (Thaler and Ravishankar 1998) by xxHash over
all fronts that the configuration names, alive or not. Fronts agree on the replicas whatever each believes
of the liveness of the others.
"""

from __future__ import annotations

from heapq import nlargest

from xxhash import xxh3_64_intdigest

from thistlelever.takeover.facts import Address


class Placement:
    """The fronts of the tier, this one included, by the addresses that the others use."""

    def __init__(
        self, fronts: tuple[Address, ...], replica_count: int, local_address: Address | None = None
    ) -> None:
        """`replica_count` fronts keep each record."""
        self.set_fronts(fronts)
        self.replica_count, self.local_address = replica_count, local_address

    def set_fronts(self, fronts: tuple[Address, ...]) -> None:
        """Replace the fronts after a reload of the configuration."""
        self.fronts = [(f"{host}:{port}|".encode(), (host, port)) for host, port in sorted(set(fronts))]

    def replicas_for(self, key: bytes) -> tuple[Address, ...]:
        """The replicas of a key, by preference. A front that is added or removed moves only the keys that it
        gains or had."""
        nearest = nlargest(
            self.replica_count, self.fronts, key=lambda front: xxh3_64_intdigest(front[0] + key)
        )
        return tuple(address for _, address in nearest)
