"""Binds parameters of prepared statements by writing them into the text as SQL literals.

Engines accept statements as text only and do not support parameters. A `?` is a placeholder unless it
stands in a string, a comment or a quoted name.
"""

from __future__ import annotations

import re
from collections.abc import Sequence
from datetime import date, datetime, time
from decimal import Decimal
from math import isfinite

TOKEN = re.compile(
    rb"--[^\n]*|/\*.*?(?:\*/|\Z)|'(?:[^']|'')*(?:'|\Z)|\"(?:[^\"]|\"\")*(?:\"|\Z)|(?P<placeholder>\?)",
    re.DOTALL,
)
# The value list of an insert, which is repeated for each row of parameters.
VALUES = re.compile(rb"\bvalues\s*(\([^()]*\))\s*;?\s*\Z", re.IGNORECASE)
# What ends a token, whatever stands next to it; the empty one is the statement's end.
SEPARATORS = frozenset((b"", b" ", b"\t", b"\r", b"\n", b"(", b")", b",", b";", b"="))
# The limit that also holds for statements without parameters.
MAX_STATEMENT_BYTES = 190_000


class Unbindable(Exception):
    """The parameters do not fit the statement."""


def count_placeholders(statement: bytes) -> int:
    """Return the number of placeholders in a statement."""
    return sum(match["placeholder"] is not None for match in TOKEN.finditer(statement))


def bind(statement: bytes, rows: Sequence[Sequence]) -> bytes:
    """Return the statement with its parameters bound; raises `Unbindable`.

    Several rows of parameters are accepted only for an insert of values. They become one statement that
    inserts all of them, so that the batch has one effect.
    """
    wanted = count_placeholders(statement)
    if not wanted and not rows:
        return statement
    if not rows:
        raise Unbindable(f"{wanted} parameters wanted, none bound")
    for row in rows:
        if len(row) != wanted:
            raise Unbindable(f"{wanted} parameters wanted, {len(row)} bound")
    if len(rows) == 1:
        return check_length(substitute(statement, rows[0]))
    values = VALUES.search(statement)
    if not values or count_placeholders(values[1]) != wanted:
        raise Unbindable(f"{len(rows)} rows of parameters, and no insert whose values hold all places")
    # Checked before the rows are joined, as thousands of them would build a text of megabytes first.
    if len(rows) * len(values[1]) > MAX_STATEMENT_BYTES:
        raise Unbindable(f"{len(rows)} rows make a statement of more than {MAX_STATEMENT_BYTES} bytes")
    tuples = b", ".join(substitute(values[1], row) for row in rows)
    return check_length(statement[: values.start(1)] + tuples)


def check_length(statement: bytes) -> bytes:
    """Return the statement; raises `Unbindable` if it is too long."""
    if len(statement) > MAX_STATEMENT_BYTES:
        raise Unbindable(f"a bound statement of {len(statement)} bytes; {MAX_STATEMENT_BYTES} at most")
    return statement


def substitute(statement: bytes, row: Sequence) -> bytes:
    """Replace the placeholders by the literals of a row of values."""
    values = iter(row)

    def fill(match: re.Match) -> bytes:
        return separated(literal(next(values)), match) if match["placeholder"] else match[0]

    return TOKEN.sub(fill, statement)


def separated(text: bytes, place: re.Match) -> bytes:
    """Return a literal with a blank on each side on which it would join its neighbour to another token.

    Without it -5 in `10-?` would begin a comment, and a string behind `e` or another string be part of it.
    """
    start, end = place.span()
    before, after = place.string[max(start - 1, 0) : start], place.string[end : end + 1]
    if before not in SEPARATORS:
        text = b" " + text
    if after not in SEPARATORS:
        text += b" "
    return text


def literal(value) -> bytes:
    """Return a value as an SQL literal; raises `Unbindable`.

    Quotes in strings are doubled: one that ended the literal would run the rest of the string as SQL.
    """
    if value is None:
        return b"null"
    if value is True or value is False:
        return b"true" if value else b"false"
    if isinstance(value, int):
        return b"%d" % value
    if isinstance(value, float | Decimal) and not isfinite(value):
        raise Unbindable(f"{value}: no figure that a statement can hold")
    if isinstance(value, float):
        return repr(value).encode()
    if isinstance(value, Decimal):
        return format(value, "f").encode()
    if isinstance(value, datetime):
        return b"timestamp '%b'" % value.isoformat(" ").encode()
    if isinstance(value, date):
        return b"date '%b'" % value.isoformat().encode()
    if isinstance(value, time):
        return b"time '%b'" % value.isoformat().encode()
    if isinstance(value, bytes):
        return b"x'%b'" % value.hex().encode()
    if isinstance(value, str):
        if "\0" in value:
            raise Unbindable("a string with a NUL")
        return b"'%b'" % value.replace("'", "''").encode()
    raise Unbindable(f"a parameter of type {type(value).__name__}")
