"""The content of a distributor on disk: SQLite, one transaction for each change."""

from __future__ import annotations

from contextlib import closing

import apsw
import msgspec

from thistlelever.distribution.messages import Delta, Snapshot, Update
from thistlelever.distribution.records import (
    DocumentRecord,
    EngineRecord,
    Record,
    digest_of,
    documents_of,
    engines_of,
)
from thistlelever.distribution.versions import NO_VERSION, Version

SCHEMA = (
    "create table if not exists engines (id text primary key, record blob not null) without rowid",
    "create table if not exists documents (id text primary key, content text not null) without rowid",
    "create table if not exists head (place integer primary key check (place = 0), version blob not null)",
    "create table if not exists floor (place integer primary key check (place = 0), version blob not null)",
)
# A writer of another process is waited for this long.
BUSY_TIMEOUT_MS = 1_000

_encode = msgspec.msgpack.Encoder().encode
_decode_record = msgspec.msgpack.Decoder(EngineRecord).decode
_decode_head = msgspec.msgpack.Decoder(tuple[int, int, bytes]).decode
_decode_version = msgspec.msgpack.Decoder(Version).decode


class StoreError(Exception):
    """The file can't be read or written; the text says why."""


class ContentStore:
    """The newest version of the whole content. Its calls block: they belong on a thread of their own."""

    def __init__(self, path: str) -> None:
        """Open or make the file; `StoreError` where that fails."""
        self.path = path
        try:
            self.connection = apsw.Connection(path)
            self.connection.set_busy_timeout(BUSY_TIMEOUT_MS)
            self.connection.pragma("journal_mode", "wal")
            self.connection.pragma("synchronous", "full")
            for statement in SCHEMA:
                self.connection.execute(statement)
        except apsw.Error as error:
            raise StoreError(f"{path}: {error}") from None

    def read(self) -> Snapshot | None:
        """What is kept; None where nothing is, `StoreError` where it is damaged."""
        try:
            head = self.connection.execute("select version from head").get
            if head is None:
                return None
            rows = self.connection.execute("select record from engines order by id")
            records: tuple[Record, ...] = tuple(_decode_record(row[0]) for row in rows)
            rows = self.connection.execute("select id, content from documents order by id")
            records += tuple(DocumentRecord(*row) for row in rows)
            term, number, digest = _decode_head(head)
        except (apsw.Error, msgspec.DecodeError) as error:
            raise StoreError(f"{self.path}: damaged: {error}") from None
        if digest_of(records) != int.from_bytes(digest, "big"):
            raise StoreError(f"{self.path}: damaged: its records are not those of version {term}.{number}")
        return Snapshot(Version(term, number), int.from_bytes(digest, "big"), records)

    def write(self, update: Update) -> None:
        """Keep an update, whole or not at all."""
        try:
            with self.connection, closing(self.connection.cursor()) as cursor:
                if isinstance(update, Delta):
                    removed = [(removal.id,) for removal in update.removals]
                    cursor.executemany("delete from engines where id = ?", removed)
                    cursor.executemany("delete from documents where id = ?", removed)
                    records = update.upserts
                else:
                    cursor.execute("delete from engines")
                    cursor.execute("delete from documents")
                    records = update.records
                cursor.executemany(
                    "insert or replace into engines values (?, ?)",
                    [(record.id, _encode(record)) for record in engines_of(records)],
                )
                cursor.executemany("insert or replace into documents values (?, ?)", documents_of(records))
                head = _encode((*update.version, update.digest.to_bytes(16, "big")))
                cursor.execute("insert or replace into head values (0, ?)", (head,))
        except apsw.Error as error:
            raise StoreError(f"{self.path}: {error}") from None

    def read_floor(self) -> Version:
        """The version below which this distributor has promised to accept nothing."""
        try:
            floor = self.connection.execute("select version from floor").get
            return NO_VERSION if floor is None else _decode_version(floor)
        except (apsw.Error, msgspec.DecodeError) as error:
            raise StoreError(f"{self.path}: damaged: {error}") from None

    def write_floor(self, floor: Version) -> None:
        """Keep a promise."""
        try:
            self.connection.execute("insert or replace into floor values (0, ?)", (_encode(floor),))
        except apsw.Error as error:
            raise StoreError(f"{self.path}: {error}") from None

    def close(self) -> None:
        """Release the file."""
        self.connection.close()
