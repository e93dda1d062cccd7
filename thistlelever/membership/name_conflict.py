"""Refutes what others say about this front, and detects another process under the same name."""

from __future__ import annotations

from thistlelever.membership.context import Context
from thistlelever.membership.member import NEVER
from thistlelever.membership.outbox import Outbox
from thistlelever.membership.prober import Prober
from thistlelever.membership.types import Address
from thistlelever.wire.peers import GossipUpdate, Message, MessageKind, State, address_of

# Minimum seconds between two checks for another process under this name.
CHECK_INTERVAL = 1.0


class NameConflicts:
    """Refutes wrong updates about this front; makes it stand down if a process under its name started
    later.
    """

    def __init__(self, context: Context, outbox: Outbox, prober: Prober) -> None:
        """No other process is known."""
        self.outbox, self.prober = outbox, prober
        self.local, self.table = outbox.local, outbox.table
        self.random, self.health, self.counts = context.random, context.health, context.counts
        # Address of a process under this name that started later, once it has acknowledged a check; this
        # front then stands down.
        self.newer_process = ""
        self.check_nonce, self.checked_at = 0, NEVER

    def refute(self, now: float, update: GossipUpdate) -> None:
        """Refute an update about this front by announcing a higher incarnation.

        Ignored are updates that are older than what this front announces or agree with it, and all updates
        once it has left.
        """
        if update.incarnation < self.local.incarnation or self.local.state is State.LEFT:
            return
        same_life = update.life == self.local.identity.life
        own = update.incarnation == self.local.incarnation and same_life
        if own and update.state <= self.local.state:
            return
        if update.state in (State.SUSPECTED, State.DEAD) and same_life:
            # Lifeguard: an accused member may itself be the slow one, so its local health gets worse.
            self.health.worsen(1)
            self.counts["refuted"] += 1
            accuser = f"accuser {update.accuser:08x}"
            self.table.record_own_change(now, update.state, accuser, "refuted", self.health.lateness)
        elif not same_life:
            self.counts["words of a former life refuted"] += 1
            self.check_address(now, address_of(update.address))
        self.outbox.announce(update.incarnation + 1)

    def check_address(self, now: float, address: Address) -> None:
        """Ping an address that an update names for this front: either an earlier start of this front or
        another live process under its name used it.
        """
        if address == self.local.identity.address or now - self.checked_at < CHECK_INTERVAL:
            return
        self.checked_at, self.check_nonce = now, self.random.nonce()
        self.prober.ping_address(now, address, self.check_nonce)

    def handle_namesake(self, now: float, source: Address, message: Message) -> None:
        """Handle a datagram that carries this front's own name."""
        if message.life == self.local.identity.life:
            self.counts["own words back"] += 1
        elif message.kind is MessageKind.PING:
            # The other process checks whether this one is alive.
            self.counts["namesakes"] += 1
            self.outbox.send_to(source, MessageKind.ACK, message.nonce)
        elif message.kind is MessageKind.ACK and message.nonce == self.check_nonce:
            self.counts["namesakes"] += 1
            if message.life > self.local.identity.life:
                self.newer_process = f"{source[0]}:{source[1]}"
                by = self.local.identity.name
                self.table.record_own_change(now, self.local.state, by, self.stand_down_reason())

    def stand_down_reason(self) -> str:
        """Why this front stands down, or an empty string."""
        if not self.newer_process:
            return ""
        return f"another process under this name, at {self.newer_process}, started later"
