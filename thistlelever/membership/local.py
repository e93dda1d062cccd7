"""The local member: what this front says about itself."""

from __future__ import annotations

from thistlelever.membership.types import Identity
from thistlelever.wire.peers import GossipUpdate, State, address_bytes, tag


class LocalMember:
    """Identity, incarnation and state that this front announces."""

    def __init__(self, identity: Identity) -> None:
        """A front that has just started: alive, with its start time as first incarnation."""
        self.identity, self.tag = identity, tag(identity.name)
        self.incarnation, self.state = identity.life, State.ALIVE

    def to_update(self) -> GossipUpdate:
        """The gossip update that describes this front."""
        name, address, life = self.identity
        return GossipUpdate(name, address_bytes(address), self.incarnation, life, self.state)
