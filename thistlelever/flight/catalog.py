"""Metadata commands that a front answers itself, without an engine: SqlInfo, catalogue, tables and types.

The schemas of the results are those of the Flight SQL specification.
"""

from __future__ import annotations

import re

import pyarrow as pa
from google.protobuf.message import Message

import thistlelever
from thistlelever.ground.operator import Flight
from thistlelever.wire.flight import columns
from thistlelever.wire.flight import flight_sql_pb2 as sql

TEXT = pa.string()


def make_schema(*fields: tuple) -> pa.Schema:
    """Return a schema of fields given as (name, type); a `!` after the name means not null."""
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
SQL_INFO = make_schema(("info_name!", pa.uint32()), ("value!", VALUE))
CATALOGS = make_schema(("catalog_name!", TEXT))
SCHEMAS = make_schema(("catalog_name", TEXT), ("db_schema_name!", TEXT))
TABLES = make_schema(
    ("catalog_name", TEXT), ("db_schema_name", TEXT), ("table_name!", TEXT), ("table_type!", TEXT)
)
TABLES_WITH_SCHEMA = TABLES.append(pa.field("table_schema", pa.binary(), nullable=False))
TABLE_TYPES = make_schema(("table_type!", TEXT))
XDBC_TYPE_INFO = make_schema(
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
# By the SqlInfo codes of Flight SQL: server name, version, Arrow version, read-only, SQL, Substrait,
# transactions (none), cancel, bulk ingestion. Each value is preceded by its type code, the index of its field
# in `VALUE`.
SQL_INFO_VALUES = {
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
# The XDBC type code of VARCHAR, the only type in the results of engines that return rows of text.
VARCHAR = 12


def metadata_table(command: Message, options: Flight) -> pa.Table | None:
    """Return the result of a metadata command; None for any other command."""
    match command:
        case sql.CommandGetSqlInfo():
            return sql_info(tuple(command.info))
        case sql.CommandGetCatalogs():
            return make_table(CATALOGS, [(options.catalog,)])
        case sql.CommandGetDbSchemas():
            named = {
                t.schema
                for t in options.tables
                if matches_like(command, "db_schema_filter_pattern", t.schema)
            }
            return make_table(
                SCHEMAS,
                [(options.catalog, name) for name in sorted(named) if catalog_matches(command, options)],
            )
        case sql.CommandGetTables():
            return table_list(command, options)
        case sql.CommandGetTableTypes():
            return make_table(TABLE_TYPES, [("TABLE",)])
        case sql.CommandGetXdbcTypeInfo():
            return xdbc_type_info(command.data_type if command.HasField("data_type") else None)
    return None


def make_table(arrow_schema: pa.Schema, rows: list[tuple]) -> pa.Table:
    """Return a table of the rows, whose values are in the order of the schema's fields."""
    arrays = [pa.array([row[index] for row in rows], field.type) for index, field in enumerate(arrow_schema)]
    return pa.Table.from_arrays(arrays, schema=arrow_schema)


def catalog_matches(command: Message, options: Flight) -> bool:
    """Whether a command names this front's catalog, or none."""
    return not command.HasField("catalog") or command.catalog == options.catalog


def matches_like(command: Message, field: str, name: str) -> bool:
    """Whether a name matches the LIKE pattern in a command's field; a missing field matches every name.

    Only the first 256 characters of the pattern are used.
    """
    if not command.HasField(field):
        return True
    return bool(like_pattern(getattr(command, field)[:256]).fullmatch(name))


def like_pattern(text: str) -> re.Pattern:
    """Return the regular expression of a LIKE pattern: `%` is any text, `_` any one character.

    Each `%` adds a level of backtracking, and with many of them a match would take years. Adjacent ones,
    which mean the same as one, are merged.
    """
    parts = {"%": ".*", "_": "."}
    merged = re.sub("%+", "%", text)
    # Possessive quantifiers, which do not backtrack, cannot be used here: more than eight `%` match nothing.
    if merged.count("%") > 8:
        return re.compile(r"(?!)")
    return re.compile("".join(parts.get(letter) or re.escape(letter) for letter in merged), re.DOTALL)


def table_list(command: sql.CommandGetTables, options: Flight) -> pa.Table:
    """Return the tables of the operator file that match a command's filters, sorted by schema and name."""
    wanted = not command.table_types or "TABLE" in command.table_types
    found = [
        (options.catalog, t.schema, t.name, "TABLE")
        for t in options.tables
        if wanted
        and catalog_matches(command, options)
        and matches_like(command, "db_schema_filter_pattern", t.schema)
        and matches_like(command, "table_name_filter_pattern", t.name)
    ]
    found.sort()
    if not command.include_schema:
        return make_table(TABLES, found)
    # Engines that return rows give three unnamed columns of text.
    arrow_schema = bytes(columns.SCHEMA.serialize())
    return make_table(TABLES_WITH_SCHEMA, [(*row, arrow_schema) for row in found])


def sql_info(wanted: tuple[int, ...]) -> pa.Table:
    """Return the values of the SqlInfo codes asked for, or of all if none is; others are left out."""
    codes = [code for code in (wanted or SQL_INFO_VALUES) if code in SQL_INFO_VALUES]
    type_codes, offsets, children = [], [], [[] for _ in range(VALUE.num_fields)]
    for code in codes:
        type_code, value = SQL_INFO_VALUES[code]
        type_codes.append(type_code)
        offsets.append(len(children[type_code]))
        children[type_code].append(value)
    arrays = [pa.array(child, VALUE.field(index).type) for index, child in enumerate(children)]
    values = pa.UnionArray.from_dense(
        pa.array(type_codes, pa.int8()),
        pa.array(offsets, pa.int32()),
        arrays,
        [VALUE.field(index).name for index in range(VALUE.num_fields)],
    )
    return pa.Table.from_arrays([pa.array(codes, pa.uint32()), values], schema=SQL_INFO)


def xdbc_type_info(wanted: int | None) -> pa.Table:
    """Return the row of VARCHAR, or none where another XDBC type code is asked for."""
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
    return make_table(XDBC_TYPE_INFO, [row] if wanted in (None, VARCHAR) else [])
