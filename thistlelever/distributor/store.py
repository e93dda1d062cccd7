"""The content of a distributor on disk: an SQLite file, with one transaction per change."""

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
# How long to wait for a lock held by another process.
BUSY_TIMEOUT_MS = 1_000

_encode = msgspec.msgpack.Encoder().encode
_decode_record = msgspec.msgpack.Decoder(EngineRecord).decode
_decode_head = msgspec.msgpack.Decoder(tuple[int, int, bytes]).decode
_decode_version = msgspec.msgpack.Decoder(Version).decode


class StoreError(Exception):
    """The file can't be read or written; the text gives the reason."""


class ContentStore:
    """The newest version of the whole content and the promised floor. Its calls block and must not run on the
    event loop's thread, except at the start."""

    def __init__(self, path: str) -> None:
        """Opens the file, which is created if it is missing. Raises `StoreError`."""
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
        """Returns the stored content, or None if there is none. Raises `StoreError` if the file is
        damaged."""
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
        """Stores an update atomically. Raises `StoreError`."""
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
        """Returns the version below which this distributor has promised to accept nothing. Raises
        `StoreError`."""
        try:
            floor = self.connection.execute("select version from floor").get
            return NO_VERSION if floor is None else _decode_version(floor)
        except (apsw.Error, msgspec.DecodeError) as error:
            raise StoreError(f"{self.path}: damaged: {error}") from None

    def write_floor(self, floor: Version) -> None:
        """Stores a promise. Raises `StoreError`."""
        try:
            self.connection.execute("insert or replace into floor values (0, ?)", (_encode(floor),))
        except apsw.Error as error:
            raise StoreError(f"{self.path}: {error}") from None

    def close(self) -> None:
        """Closes the file."""
        self.connection.close()
