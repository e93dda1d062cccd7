"""Finds the table that a statement reads or writes: `sales_17.orders` is of the table group 17."""

from __future__ import annotations

import re

# Strings and comments are passed over whole, so that a name in them can't be taken for one.
# Double quotes hold names in SQL, so a quoted name counts like a bare one.
TOKEN = re.compile(
    rb"--[^\n]*|/\*.*?(?:\*/|\Z)|'(?:[^']|'')*(?:'|\Z)"
    rb"|(?P<name>(?:\"(?:[^\"]|\"\")*\"|[A-Za-z_][\w$]*)(?:\s*\.\s*(?:\"(?:[^\"]|\"\")*\"|[A-Za-z_][\w$]*))*)",
    re.DOTALL,
)
GROUPED = re.compile(rb"_(\d+)\Z")
# A name after one of these is a table; elsewhere it may be a column of an alias, as in `o_3.total`.
BEFORE_TABLE = frozenset((b"from", b"join", b"into", b"update", b"table", b"using", b"only"))


def find_table(statement: bytes) -> tuple[int, bytes] | None:
    """The number of the table group and the table's whole name; None where there is none."""
    fallback, before = None, b""
    for match in TOKEN.finditer(statement):
        name = match["name"]
        if name is None:
            continue
        parts = [part.strip().strip(b'"') for part in name.split(b".")]
        grouped = GROUPED.search(parts[-2]) if len(parts) > 1 else None
        if grouped:
            found = int(grouped[1]), b".".join(parts[-2:])
            if before in BEFORE_TABLE:
                return found
            fallback = fallback or found
        before = name.lower()
    return fallback
