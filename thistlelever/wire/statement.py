"""Finds the table that a statement reads or writes: `sales_17.orders` belongs to table group 17."""

from __future__ import annotations

import re

# Strings and comments match as a whole, so that names inside them are not found. Double quotes enclose
# identifiers in SQL, so a quoted name counts like a plain one.
TOKEN = re.compile(
    rb"--[^\n]*|/\*.*?(?:\*/|\Z)|'(?:[^']|'')*(?:'|\Z)"
    rb"|(?P<name>(?:\"(?:[^\"]|\"\")*\"|[A-Za-z_][\w$]*)(?:\s*\.\s*(?:\"(?:[^\"]|\"\")*\"|[A-Za-z_][\w$]*))*)",
    re.DOTALL,
)
# The number of the table group at the end of a schema name.
GROUPED = re.compile(rb"_(\d+)\Z")
# Keywords that a table name follows; elsewhere the name may be a column of an alias, as in `o_3.total`.
BEFORE_TABLE = frozenset((b"from", b"join", b"into", b"update", b"table", b"using", b"only"))


def find_table(statement: bytes) -> tuple[int, bytes] | None:
    """Return the number of the table group and the table's qualified name, or None.

    Names after a keyword of `BEFORE_TABLE` take precedence over others that look alike.
    """
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
