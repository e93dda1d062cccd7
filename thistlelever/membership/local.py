"""This front as it tells others of itself."""

from __future__ import annotations

from thistlelever.membership.types import Identity
from thistlelever.wire.peers import GossipUpdate, State, address_bytes, tag


class LocalMember:
    """Its identity, and the incarnation and state that it claims."""

    def __init__(self, identity: Identity) -> None:
        """A front that has just started; its first incarnation is its life."""
        self.identity, self.tag = identity, tag(identity.name)
        self.incarnation, self.state = identity.life, State.ALIVE

    def to_update(self) -> GossipUpdate:
        """What it says of itself."""
        name, address, life = self.identity
        return GossipUpdate(name, address_bytes(address), self.incarnation, life, self.state)
