"""Tickets as bytes: what a batch needs, under a message authentication code of this front's life."""

from __future__ import annotations

import hashlib
import os

import msgspec
from itsdangerous import BadSignature, Signer

from thistlelever.state.tickets import TicketClaims

# A ticket holds a statement and a few words.
MAX_TICKET_BYTES = 262_144


class TicketPayload(msgspec.Struct, frozen=True, array_like=True):
    """What a ticket is for: a service group, the fields of a submission, and the statement."""

    front: str
    life: str
    number: str
    expires: float
    group: str
    fields: dict[str, str | float | bool]
    statement: bytes

    def claims(self) -> TicketClaims:
        return TicketClaims(self.front, self.life, self.number, self.expires)


class InvalidTicketError(Exception):
    """The bytes are no ticket, or not one that this front has made so."""


class TicketSigner:
    """Makes tickets and opens them. The key is new with each start and never leaves the process, so a ticket
    is good at one front in one of its lives."""

    def __init__(self, front: str) -> None:
        self.front, self.life = front, os.urandom(8).hex()
        self.signer = Signer(
            os.urandom(32), salt=b"ticket", key_derivation="hmac", digest_method=hashlib.sha256
        )

    def issue(
        self, expires: float, group: str, fields: dict, statement: bytes
    ) -> tuple[bytes, TicketPayload]:
        payload = TicketPayload(self.front, self.life, os.urandom(8).hex(), expires, group, fields, statement)
        return self.signer.sign(msgspec.msgpack.encode(payload)), payload

    def verify(self, ticket: bytes) -> TicketPayload:
        """What it is for. Of another front's, or of one from before a restart, the claims alone are to be
        believed, and only as far as that it can't be redeemed here."""
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
