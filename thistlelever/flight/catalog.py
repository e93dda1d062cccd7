"""What the front answers of itself, without any engine: SqlInfo, catalogue, types. Schemas are Flight
SQL's."""

from __future__ import annotations

import re

import pyarrow as pa
from google.protobuf.message import Message

import thistlelever
from thistlelever.ground.operator import Flight
from thistlelever.wire.flight import columns
from thistlelever.wire.flight import flight_sql_pb2 as sql

TEXT = pa.string()


def schema(*fields: tuple) -> pa.Schema:
    """Fields as (name, type), those named with `!` not null."""
    return pa.schema(
        [pa.field(name.rstrip("!"), kind, nullable=not name.endswith("!")) for name, kind in fields]
    )


VALUE = pa.dense_union(
    [
        pa.field("string_value", TEXT),
        pa.field("bool_value", pa.bool_()),
        pa.field("bigint_value", pa.int64()),
        pa.field("int32_bitmask", pa.int32()),
        pa.field("string_list", pa.list_(TEXT)),
        pa.field("int32_to_int32_list_map", pa.map_(pa.int32(), pa.list_(pa.int32()))),
    ]
)
SQL_INFO = schema(("info_name!", pa.uint32()), ("value!", VALUE))
CATALOGS = schema(("catalog_name!", TEXT))
SCHEMAS = schema(("catalog_name", TEXT), ("db_schema_name!", TEXT))
TABLES = schema(
    ("catalog_name", TEXT), ("db_schema_name", TEXT), ("table_name!", TEXT), ("table_type!", TEXT)
)
TABLES_WITH_SCHEMA = TABLES.append(pa.field("table_schema", pa.binary(), nullable=False))
TABLE_TYPES = schema(("table_type!", TEXT))
XDBC = schema(
    ("type_name!", TEXT),
    ("data_type!", pa.int32()),
    ("column_size", pa.int32()),
    ("literal_prefix", TEXT),
    ("literal_suffix", TEXT),
    ("create_params", pa.list_(pa.field("item", TEXT, nullable=False))),
    ("nullable!", pa.int32()),
    ("case_sensitive!", pa.bool_()),
    ("searchable!", pa.int32()),
    ("unsigned_attribute", pa.bool_()),
    ("fixed_prec_scale!", pa.bool_()),
    ("auto_increment", pa.bool_()),
    ("local_type_name", TEXT),
    ("minimum_scale", pa.int32()),
    ("maximum_scale", pa.int32()),
    ("sql_data_type!", pa.int32()),
    ("datetime_subcode", pa.int32()),
    ("num_prec_radix", pa.int32()),
    ("interval_precision", pa.int32()),
)
# By Flight SQL's numbers: name, version, Arrow's version, read-only, SQL, Substrait, transactions (none),
# cancel, bulk ingestion. The place is that of the value's kind in `VALUE`.
FACTS = {
    0: (0, "thistlelever"),
    1: (0, thistlelever.__version__),
    2: (0, pa.__version__),
    3: (1, False),
    4: (1, True),
    5: (1, False),
    8: (3, 0),
    9: (1, True),
    10: (1, False),
}
# XDBC's number of VARCHAR, which is all that engines of rows give.
VARCHAR = 12


def answer(asked: Message, terms: Flight) -> pa.Table | None:
    """The table that answers a command about the front itself; None where it is no such command."""
    match asked:
        case sql.CommandGetSqlInfo():
            return sql_info(tuple(asked.info))
        case sql.CommandGetCatalogs():
            return table(CATALOGS, [(terms.catalog,)])
        case sql.CommandGetDbSchemas():
            named = {t.schema for t in terms.tables if like(asked, "db_schema_filter_pattern", t.schema)}
            return table(SCHEMAS, [(terms.catalog, name) for name in sorted(named) if ours(asked, terms)])
        case sql.CommandGetTables():
            return tables(asked, terms)
        case sql.CommandGetTableTypes():
            return table(TABLE_TYPES, [("TABLE",)])
        case sql.CommandGetXdbcTypeInfo():
            return types(asked.data_type if asked.HasField("data_type") else None)
    return None


def table(form: pa.Schema, rows: list[tuple]) -> pa.Table:
    made = [pa.array([row[place] for row in rows], field.type) for place, field in enumerate(form)]
    return pa.Table.from_arrays(made, schema=form)


def ours(asked: Message, terms: Flight) -> bool:
    return not asked.HasField("catalog") or asked.catalog == terms.catalog


def like(asked: Message, field: str, word: str) -> bool:
    """SQL's LIKE: `%` any run, `_` any one. Absent, it fits all."""
    if not asked.HasField(field):
        return True
    return bool(pattern(getattr(asked, field)[:256]).fullmatch(word))


def pattern(text: str) -> re.Pattern:
    """Risk: runs of `%` make a pattern that takes years; a run says no more than one."""
    parts = {"%": ".*", "_": "."}
    squeezed = re.sub("%+", "%", text)
    # Possessive classes can't be had here, so that at most eight runs are looked for.
    if squeezed.count("%") > 8:
        return re.compile(r"(?!)")
    return re.compile("".join(parts.get(letter) or re.escape(letter) for letter in squeezed), re.DOTALL)


def tables(asked: sql.CommandGetTables, terms: Flight) -> pa.Table:
    wanted = not asked.table_types or "TABLE" in asked.table_types
    found = [
        (terms.catalog, t.schema, t.name, "TABLE")
        for t in terms.tables
        if wanted
        and ours(asked, terms)
        and like(asked, "db_schema_filter_pattern", t.schema)
        and like(asked, "table_name_filter_pattern", t.name)
    ]
    found.sort()
    if not asked.include_schema:
        return table(TABLES, found)
    # Engines of rows give three columns of text and name none.
    form = bytes(columns.SCHEMA.serialize())
    return table(TABLES_WITH_SCHEMA, [(*row, form) for row in found])


def sql_info(wanted: tuple[int, ...]) -> pa.Table:
    names = [name for name in (wanted or FACTS) if name in FACTS]
    kinds, offsets, children = [], [], [[] for _ in range(VALUE.num_fields)]
    for name in names:
        kind, value = FACTS[name]
        kinds.append(kind)
        offsets.append(len(children[kind]))
        children[kind].append(value)
    arrays = [pa.array(child, VALUE.field(place).type) for place, child in enumerate(children)]
    values = pa.UnionArray.from_dense(
        pa.array(kinds, pa.int8()),
        pa.array(offsets, pa.int32()),
        arrays,
        [VALUE.field(place).name for place in range(VALUE.num_fields)],
    )
    return pa.Table.from_arrays([pa.array(names, pa.uint32()), values], schema=SQL_INFO)


def types(wanted: int | None) -> pa.Table:
    row = (
        "varchar",
        VARCHAR,
        48_000,
        "'",
        "'",
        [],
        0,
        True,
        3,
        None,
        False,
        False,
        "varchar",
        None,
        None,
        VARCHAR,
        None,
        None,
        None,
    )
    return table(XDBC, [row] if wanted in (None, VARCHAR) else [])
