"""Statements whose result can be told from any other: a row names its statement, its place and their sum."""

# ruff: noqa: D103

from __future__ import annotations

import re
from zlib import crc32


def statement(group: str, tag: str, table_group: int, rows: int, run_ms: int) -> str:
    """A statement with the number of rows and the running time that the stand-in engine gives it."""
    verb = "select article, weight, port from" if group != "load" else "insert into"
    return f"{verb} customs_{table_group}.declarations /* tag={tag} rows={rows} run_ms={run_ms} */"


def facts(text: bytes) -> tuple[str, int, float]:
    """Tag, number of rows, and running time in seconds."""
    found = re.search(rb"tag=(\w+) rows=(\d+) run_ms=(\d+)", text)
    return found[1].decode(), int(found[2]), int(found[3]) / 1e3


def run_s(text: bytes) -> float:
    return facts(text)[2]


def result(text: bytes) -> list[str]:
    tag, count, _ = facts(text)
    return [f"{tag}\t{place}\t{crc32(f'{tag} {place}'.encode()):08x}\n" for place in range(count)]


def difference(text: str, served: bytes) -> str:
    """How a served result differs from the statement's own; empty where it does not."""
    own = "".join(result(text.encode())).encode()
    if served == own:
        return ""
    tag = facts(text.encode())[0]
    lines = served.decode("latin-1").splitlines()
    foreign = sum(not line.startswith(tag + "\t") for line in lines)
    whole = len(own.splitlines())
    return f"{len(lines)} rows of {whole}, {foreign} of them of other requests"
