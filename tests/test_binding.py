"""Binding of parameters into a statement's text: no value may be interpreted as SQL."""

import re
from decimal import Decimal

import pytest
import sqlglot
from hypothesis import example, given
from hypothesis import strategies as st

from thistlelever.wire.binding import Unbindable, bind, count_placeholders, literal

TEXT = st.text(st.characters(exclude_characters="\0", codec="utf-8"), max_size=12)
VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**63), 2**63),
    TEXT,
    st.floats(allow_nan=False, allow_infinity=False),
    st.binary(max_size=8),
    st.dates(),
    st.times(),
    st.datetimes(),
    st.decimals(-(10**9), 10**9),
)
# Exactly one literal.
WHOLE = re.compile(rb"(?:(?:date|time|timestamp) |x)?'(?:[^']|'')*'|null|true|false|-?[0-9.e+-]+", re.DOTALL)


@given(VALUES)
def test_a_value_is_one_literal(value):
    assert WHOLE.fullmatch(literal(value))


# What may stand beside a place: ends and beginnings of words, names, numbers, strings and operators.
NEIGHBOURS = st.one_of(
    st.sampled_from((*"(),;=-+*/<>|:@#%. ", "||", "::int", "1.", ".5", "''", "'s'", '"n"')),
    st.sampled_from(("", *"eEnbx", "u&", "U&", "date", "date ")),
    st.from_regex(r"[A-Za-z0-9_]{1,3}", fullmatch=True),
)


def tokens(text):
    """The tokens of a text as they are written, by a parser that is not ours."""
    return [text[token.start : token.end + 1] for token in sqlglot.tokenize(text, read="postgres")]


@given(NEIGHBOURS, VALUES, NEIGHBOURS)
@example("10-", -5, "")
@example("e", "\\", "")
@example("1", 2, "3")
@example("x", "00", "")
@example("'s'", "t", "'u'")
def test_a_value_is_no_part_of_its_neighbours(before, value, after):
    """Guards against -5 that is written into `10-?` as `10--5`, and so begins a comment."""
    written = bind(f"{before}?{after}".encode(), [(value,)]).decode()
    assert tokens(written) == tokens(f"{before} {literal(value).decode()} {after}")


@given(VALUES)
def test_a_value_reads_back_as_one_literal_of_the_same_value(value):
    """Guards against a value that an SQL parser reads as another, or as more than a literal."""
    read = sqlglot.parse_one(f"select {literal(value).decode()}", read="postgres").expressions[0]
    sign = "-" if isinstance(read, sqlglot.exp.Neg) else ""
    read = read.this if sign else read
    if isinstance(read, sqlglot.exp.Cast):
        assert isinstance(read.this, sqlglot.exp.Literal)
        assert type(value).fromisoformat(read.name) == value
    elif isinstance(read, sqlglot.exp.HexString):
        assert bytes.fromhex(read.name) == value
    elif isinstance(read, sqlglot.exp.Boolean):
        assert read.this is value
    elif isinstance(read, sqlglot.exp.Null):
        assert value is None
    else:
        assert isinstance(read, sqlglot.exp.Literal)
        assert read.is_string == isinstance(value, str)
        assert type(value)(sign + read.name) == value


@given(st.lists(VALUES, min_size=2, max_size=2))
def test_places_inside_strings_comments_and_names_stay(row):
    statement = b"select '?' , \"a?\" from sales_1.x -- ? '\n where a = ? /* ? */ and b = ? and c = 'it''s ?'"
    assert count_placeholders(statement) == 2
    a, b = (literal(value) for value in row)
    wanted = b"where a = " + a + b" /* ? */ and b = " + b + b" and c = 'it''s ?'"
    assert bind(statement, [row]).endswith(wanted)


@pytest.mark.parametrize(
    "statement, rows, wanted",
    [
        (
            b"insert into s_1.x values (?, 2, ?);",
            [(1, "a"), (2, None)],
            b"insert into s_1.x values (1, 2, 'a'), (2, 2, null)",
        ),
        (b"select 1 from s_1.x", [], b"select 1 from s_1.x"),
    ],
)
def test_rows(statement, rows, wanted):
    assert bind(statement, rows) == wanted


@pytest.mark.parametrize(
    "statement, rows",
    [
        (b"select ? from s_1.x", []),
        (b"select ? from s_1.x", [(1, 2)]),
        (b"select 1 from s_1.x", [(1,)]),
        (b"select ? from s_1.x", [(1,), (2,)]),
        (b"update s_1.x set a = ? where b in (?)", [(1, 2), (3, 4)]),
        (b"insert into s_1.x values (?)", [("x" * 200_000,)]),
        (b"insert into s_1.x values (?)", [(1,)] * 100_000),
        (b"select ? from s_1.x", [({},)]),
        (b"select ? from s_1.x", [(Decimal("NaN"),)]),
    ],
)
def test_what_does_not_fit(statement, rows):
    with pytest.raises(Unbindable):
        bind(statement, rows)
