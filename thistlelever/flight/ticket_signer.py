"""Flight tickets: everything a batch needs, signed with a key of this front."""

from __future__ import annotations

import hashlib
import os

import msgspec
from itsdangerous import BadSignature, Signer

from thistlelever.state.tickets import TicketClaims

# A ticket holds a statement, of 190 KB at most, and a few short fields.
MAX_TICKET_BYTES = 262_144


class TicketPayload(msgspec.Struct, frozen=True, array_like=True):
    """The content of a ticket.

    `front`, `life` (the process lifetime), `number` and `expires` (seconds) identify it. `group` is the
    service group, `fields` are those of a submission.
    """

    front: str
    life: str
    number: str
    expires: float
    group: str
    fields: dict[str, str | float | bool]
    statement: bytes

    def claims(self) -> TicketClaims:
        """Return the ticket's identity, by which its use is recorded."""
        return TicketClaims(self.front, self.life, self.number, self.expires)


class InvalidTicketError(Exception):
    """The bytes are not a ticket, or claim to be of this front and fail the signature check."""


class TicketSigner:
    """Issues and verifies tickets.

    The key is new with each start and never leaves the process, so a ticket is valid only at the front that
    issued it, until that front restarts.
    """

    def __init__(self, front: str) -> None:
        """Create a key for the front's process lifetime."""
        self.front, self.life = front, os.urandom(8).hex()
        self.signer = Signer(
            os.urandom(32), salt=b"ticket", key_derivation="hmac", digest_method=hashlib.sha256
        )

    def issue(
        self, expires: float, group: str, fields: dict, statement: bytes
    ) -> tuple[bytes, TicketPayload]:
        """Return a signed ticket, valid until the time `expires` in seconds, and its payload."""
        payload = TicketPayload(self.front, self.life, os.urandom(8).hex(), expires, group, fields, statement)
        return self.signer.sign(msgspec.msgpack.encode(payload)), payload

    def verify(self, ticket: bytes) -> TicketPayload:
        """Return a ticket's payload; raises `InvalidTicketError`.

        The signature is checked only where the ticket claims to be of this front and process lifetime. Of
        any other, only the claims may be used, and only to report that it cannot be redeemed here.
        """
        if len(ticket) > MAX_TICKET_BYTES:
            raise InvalidTicketError("longer than any ticket")
        try:
            payload = msgspec.msgpack.decode(ticket.rpartition(b".")[0], type=TicketPayload)
        except msgspec.MsgspecError:
            raise InvalidTicketError("not of a ticket's form") from None
        if (payload.front, payload.life) == (self.front, self.life):
            try:
                self.signer.unsign(ticket)
            except BadSignature:
                raise InvalidTicketError("not as it was issued") from None
        return payload
