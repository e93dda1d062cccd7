"""The Flight SQL endpoint: third-party clients, malformed and oversized input, metadata commands."""

import asyncio
import socket
import struct
import subprocess
import sys
from contextlib import asynccontextmanager
from pathlib import Path

import adbc_driver_flightsql.dbapi as dbapi
import pyarrow as pa
import pyarrow.flight as arrow_flight
import pytest
from grpc import aio
from stage import staged

from thistlelever.standins import flight_client as client
from thistlelever.standins.flight_client import descriptor
from thistlelever.wire.flight import codec, columns
from thistlelever.wire.flight import flight_pb2 as pb
from thistlelever.wire.flight import flight_sql_pb2 as sql

ROOT = Path(__file__).parents[1]
ROWS = [("a", "b", "c"), ("d", "", "f")]
STATEMENT = "select a from sales_17.orders"


@asynccontextmanager
async def front(*lines):
    lines = lines or ("flight_engine f", 'flight_section group="lookup"', "front")
    async with staged([(line, line.split()) for line in lines]) as stage:
        for engine in stage.engines.values():
            engine.text = "".join("\t".join(row) + "\n" for row in ROWS)
        yield stage


def run_with_front(work, *lines):
    """Run `work` with the stage and the address of a front, which the scenario lines describe."""

    async def run():
        async with front(*lines) as stage:
            return await work(stage, f"grpc://127.0.0.1:{stage.server.flight.server.port}")

    return asyncio.run(run())


def test_pyarrow_as_it_comes():
    def use(address):
        with arrow_flight.connect(address) as flight:
            command = codec.encode_any(sql.CommandStatementQuery(query=STATEMENT))
            info = flight.get_flight_info(arrow_flight.FlightDescriptor.for_command(command))
            table = flight.do_get(info.endpoints[0].ticket).read_all()
            with pytest.raises(pa.ArrowException, match="redeemed already"):
                flight.do_get(info.endpoints[0].ticket).read_all()
            flight.cancel_flight_info(arrow_flight.CancelFlightInfoRequest(info)) if hasattr(
                arrow_flight, "CancelFlightInfoRequest"
            ) else None
            return table, [kind.type for kind in flight.list_actions()]

    async def work(stage, address):
        return await asyncio.to_thread(use, address)

    table, actions = run_with_front(work)
    assert [tuple(row.values()) for row in table.to_pylist()] == ROWS
    assert "CreatePreparedStatement" in actions


@pytest.mark.filterwarnings("ignore:Cannot disable autocommit")
def test_both_clients_against_the_demo():
    # The demo as its users start it, with unmodified third-party clients.
    demo_command = [sys.executable, "-u", "-m", "thistlelever", "demo", "--flight", "--for", "8"]
    with subprocess.Popen(demo_command, cwd=ROOT, stdout=subprocess.PIPE, text=True) as demo:
        address = next(line.split()[1] for line in demo.stdout if "grpc://" in line)
        while "adbc" not in demo.stdout.readline():
            pass
        statement = "select cargo, weight, port from customs_17.declarations"
        with arrow_flight.connect(address) as flight:
            command = codec.encode_any(sql.CommandStatementQuery(query=statement))
            info = flight.get_flight_info(arrow_flight.FlightDescriptor.for_command(command))
            assert flight.do_get(info.endpoints[0].ticket).read_all().num_rows == 3
        with dbapi.connect(address) as connection, connection.cursor() as cursor:
            cursor.execute(f"{statement} where weight > ?", (50,))
            assert len(cursor.fetchall()) == 3
            cursor.executemany("insert into customs_17.declarations values (?)", [(1,), (2,)])
        demo.stdout.read()
        assert demo.wait() == 0


@pytest.mark.filterwarnings("ignore:Cannot disable autocommit")
def test_adbc_as_it_comes():
    def use(address):
        with dbapi.connect(address) as connection, connection.cursor() as cursor:
            cursor.execute(STATEMENT)
            rows = cursor.fetchall()
            cursor.execute(f"{STATEMENT} where b = ? and c = ?", (5, "o'hara"))
            bound = cursor.fetchall()
            cursor.executemany("insert into sales_17.orders values (?, ?)", [(1, "a"), (2, "b")])
            changed = cursor.rowcount
            objects = connection.adbc_get_objects(depth="tables").read_all().to_pylist()
            kinds = connection.adbc_get_table_types()
            with pytest.raises(dbapi.ProgrammingError, match="names no table"):
                cursor.execute("select 1")
            return rows, bound, changed, objects, kinds, connection.adbc_get_info()["vendor_name"]

    async def work(stage, address):
        return await asyncio.to_thread(use, address), stage.engines["f"].calls

    tables = 'flight_section group="lookup" tables=[{"schema":"sales_17","name":"orders"}]'
    (rows, bound, changed, objects, kinds, vendor), calls = run_with_front(
        work, "flight_engine f", tables, "front"
    )
    assert rows == bound == ROWS
    assert changed == 1
    assert kinds == ["TABLE"] and vendor == "thistlelever"
    assert objects[0]["catalog_db_schemas"][0]["db_schema_tables"][0]["table_name"] == "orders"
    sent = [body for call, _, body in calls if call in ("GetFlightInfo", "DoPut")]
    assert sent == [
        STATEMENT.encode(),
        f"{STATEMENT} where b = 5 and c = 'o''hara'".encode(),
        b"insert into sales_17.orders values (1, 'a'), (2, 'b')",
    ]


def test_groups_by_header_and_by_session():
    def use(address):
        header = {"adbc.flight.sql.rpc.call_header.x-group": "pay"}
        with dbapi.connect(address, db_kwargs=header) as connection, connection.cursor() as cursor:
            cursor.execute(STATEMENT)
            return cursor.fetchall()

    async def work(stage, address):
        rows = await asyncio.to_thread(use, address)
        channel, option = stage.channel(), pb.SessionOptionValue
        request = pb.SetSessionOptionsRequest(
            session_options={
                "group": option(string_value="load"),
                "wait_ms": option(int64_value=900),
                "colour": option(string_value="red"),
                "need_mb": option(string_value="much"),
            }
        )
        result, metadata = await client.action(channel, "SetSessionOptions", request.SerializeToString())
        errors = pb.SetSessionOptionsResult.FromString(result).errors
        cookie = (("cookie", metadata["set-cookie"].split(";")[0]),)
        once = (("x-once", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"),)
        await client.query(channel, STATEMENT, cookie + once)
        result, _ = await client.action(channel, "GetSessionOptions", b"", cookie)
        options = pb.GetSessionOptionsResult.FromString(result).session_options
        await client.action(channel, "CloseSession", b"", cookie)
        with pytest.raises(client.CallError, match="no such session"):
            await client.action(channel, "CloseSession", b"", cookie)
        lanes = [fields["x-lane"] for call, fields, _ in stage.engines["f"].calls if call == "GetFlightInfo"]
        return rows, errors, options, lanes, stage.engines["f"].calls[-2][1]["x-limit-ms"]

    rows, errors, options, lanes, limit = run_with_front(work)
    assert rows == ROWS and lanes == ["pay", "load"] and int(limit) <= 900
    assert {name: error.value for name, error in errors.items()} == {"colour": 1, "need_mb": 2}
    assert options["wait_ms"].double_value == 900 and set(options) == {"group", "wait_ms"}


def descriptor_with_type_url(name, prefix="type.googleapis.com/"):
    url = (prefix + name).encode()
    return pb.FlightDescriptor(type=2, cmd=b"\x0a" + bytes((len(url),)) + url)


INVALID_REQUESTS = [
    ("GetFlightInfo", b"\xff\xff\xff", "INVALID_ARGUMENT", "FlightDescriptor"),
    ("GetFlightInfo", pb.FlightDescriptor(type=2, cmd=b"\xff\xff"), "INVALID_ARGUMENT", "no Any"),
    ("GetFlightInfo", pb.FlightDescriptor(type=1, path=["a"]), "INVALID_ARGUMENT", "a command expected"),
    ("GetFlightInfo", descriptor_with_type_url("google.protobuf.Any"), "INVALID_ARGUMENT", "type URL"),
    (
        "GetFlightInfo",
        descriptor_with_type_url("arrow.flight.protocol.sql.CommandStatementQuery", ""),
        "INVALID_ARGUMENT",
        "type URL",
    ),
    (
        "GetFlightInfo",
        descriptor_with_type_url("arrow.flight.protocol.sql.CommandGetPrimaryKeys"),
        "UNIMPLEMENTED",
        "CommandGetPrimaryKeys",
    ),
    (
        "GetFlightInfo",
        descriptor(sql.CommandStatementQuery(query=STATEMENT, transaction_id=b"1")),
        "UNIMPLEMENTED",
        "transactions",
    ),
    (
        "GetFlightInfo",
        descriptor(sql.CommandStatementUpdate(query=STATEMENT)),
        "UNIMPLEMENTED",
        "CommandStatementUpdate as a query",
    ),
    (
        "GetFlightInfo",
        descriptor(sql.CommandPreparedStatementQuery(prepared_statement_handle=b"none")),
        "NOT_FOUND",
        "no such prepared statement",
    ),
    ("GetSchema", descriptor(sql.CommandStatementQuery(query=STATEMENT)), "UNIMPLEMENTED", "GetSchema"),
    ("PollFlightInfo", pb.FlightDescriptor(type=2, cmd=b"x" * 300_000), "INVALID_ARGUMENT", "300000 bytes"),
    (
        "GetFlightInfo",
        pb.FlightDescriptor(type=2, cmd=b"x" * 2_000_000),
        "RESOURCE_EXHAUSTED",
        "larger than max",
    ),
]


@pytest.mark.parametrize("method, request_, code, text", INVALID_REQUESTS)
def test_bad_input_gets_a_status_that_names_it(method, request_, code, text):
    async def work(stage, address):
        raw = request_ if type(request_) is bytes else request_.SerializeToString()
        sent = type("Raw", (), {"SerializeToString": lambda self: raw})()
        with pytest.raises(client.CallError) as error:
            await client.unary(stage.channel(), method, sent)
        table = await client.query(stage.channel(), STATEMENT)
        return error.value, table.num_rows, len(stage.server.batches.by_number)

    error, rows, still_open = run_with_front(work)
    assert error.code == code and text in error.details, error
    assert rows == len(ROWS) and still_open == 0


@pytest.mark.parametrize(
    "ticket",
    [
        b"",
        b"\xff",
        codec.encode_any(sql.TicketStatementQuery(statement_handle=b"abc")),
        codec.encode_any(sql.TicketStatementQuery(statement_handle=b"\x97.abc")),
        codec.encode_any(sql.CommandStatementQuery(query=STATEMENT)),
        b"x" * 300_000,
    ],
)
def test_bad_tickets_run_nothing(ticket):
    async def work(stage, address):
        with pytest.raises(client.CallError) as error:
            await client.get(stage.channel(), pb.Ticket(ticket=ticket))
        return error.value.code, stage.engines["f"].recorder.records

    code, lines = run_with_front(work)
    assert code in ("INVALID_ARGUMENT", "UNIMPLEMENTED") and lines == []


def test_tickets_of_another_front_and_of_before_a_restart():
    async def ticket_of(name):
        async with front() as stage:
            stage.server.flight.server.signer.front = stage.server.flight.server.tickets.front = name
            return (await client.info(stage.channel(), STATEMENT)).endpoint[0].ticket

    async def run():
        earlier, foreign = await ticket_of("n0"), await ticket_of("n1")
        async with front() as stage:
            errors = []
            for ticket in (earlier, foreign):
                with pytest.raises(client.CallError) as error:
                    await client.get(stage.channel(), ticket)
                errors.append(str(error.value))
            return errors, stage.engines["f"].recorder.records

    (earlier, foreign), lines = asyncio.run(run())
    assert earlier.startswith("FAILED_PRECONDITION") and "before this front's restart" in earlier
    assert foreign.startswith("FAILED_PRECONDITION") and "another front" in foreign
    assert lines == []


def bind_and_run(table):
    """Bind a table, or raw stream messages, to a prepared statement with two parameters and run it.

    Returns the condition that the engine received, or the text of the error.
    """

    async def work(stage, address):
        request = sql.ActionCreatePreparedStatementRequest(query=f"{STATEMENT} where b = ? and c = ?")
        result, _ = await client.action(stage.channel(), "CreatePreparedStatement", codec.encode_any(request))
        handle = codec.decode_command(result).prepared_statement_handle
        command = sql.CommandPreparedStatementQuery(prepared_statement_handle=handle)
        try:
            if type(table) is pa.Table:
                await client.put(stage.channel(), command, table)
            else:
                await put_raw(stage.channel(), command, table)
            info = await client.unary(stage.channel(), "GetFlightInfo", descriptor(command))
            await client.get(stage.channel(), pb.FlightInfo.FromString(info).endpoint[0].ticket)
        except client.CallError as error:
            return str(error)
        await client.action(
            stage.channel(),
            "ClosePreparedStatement",
            codec.encode_any(sql.ActionClosePreparedStatementRequest(prepared_statement_handle=handle)),
        )
        statements = stage.server.flight.server.prepared_statements
        assert not statements.by_handle and not statements.bytes
        return stage.engines["f"].calls[0][2].decode().partition("where ")[2]

    return run_with_front(work)


async def put_raw(channel, command, messages):
    call = channel.stream_stream(codec.SERVICE + "DoPut")()
    first = pb.FlightData(flight_descriptor=descriptor(command)).SerializeToString()
    try:
        for raw in (first, *messages):
            await call.write(raw)
        await call.done_writing()
        async for _ in call:
            pass
    except (aio.AioRpcError, asyncio.InvalidStateError):
        raise client.CallError(
            aio.AioRpcError(
                await call.code(),
                await call.initial_metadata(),
                await call.trailing_metadata(),
                await call.details(),
            )
        ) from None


def test_parameters_of_usual_types():
    assert bind_and_run(pa.table({"b": [5], "c": ["o'hara -- ?"]})) == "b = 5 and c = 'o''hara -- ?'"
    assert bind_and_run(pa.table({"b": [None], "c": [2.5]})) == "b = null and c = 2.5"


def test_a_dictionary_batch_is_read():
    words = pa.array(["x", "y"]).dictionary_encode()
    assert bind_and_run(pa.table({"b": words.take(pa.array([1])), "c": [True]})) == "b = 'y' and c = true"


@pytest.mark.parametrize(
    "table, text",
    [
        (pa.table({"b": [5]}), "2 parameters wanted, 1 bound"),
        (pa.table({"b": [[1]], "c": [2]}), "type list"),
        (pa.table({"b": [1, 2], "c": [3, 4]}), "2 rows of parameters"),
        (pa.table({"b": [float("nan")], "c": [1]}), "nan"),
        (pa.table({"b": ["a\0b"], "c": [1]}), "NUL"),
        (pa.table({"b": range(20_000), "c": range(20_000)}), "20000 rows of parameters"),
    ],
)
def test_parameters_that_do_not_fit(table, text):
    error = bind_and_run(table)
    assert error.startswith("INVALID_ARGUMENT") and text in error, error


def test_a_batch_that_does_not_fit_its_schema():
    one, two = (
        columns.encode_table(pa.table({"b": [1], "c": [2]})),
        columns.encode_table(pa.table({"b": ["x" * 99]})),
    )
    assert bind_and_run([one[0], two[1]]).startswith("INVALID_ARGUMENT")
    assert bind_and_run([b"\xff" * 40]).startswith("INVALID_ARGUMENT")
    assert bind_and_run([codec.encode_stream_message(b"\xff" * 40, b"x")]).startswith("INVALID_ARGUMENT")
    # The schema names a dictionary, and the stream has no dictionary batch.
    dictionary_stream = columns.encode_table(pa.table({"b": pa.array(["x"]).dictionary_encode(), "c": [1]}))
    assert bind_and_run([dictionary_stream[0], dictionary_stream[-1]]).startswith("INVALID_ARGUMENT")


def test_more_parameters_than_are_taken():
    assert bind_and_run(pa.table({"b": ["x" * 900_000], "c": ["y" * 300_000]})).startswith(
        ("INVALID_ARGUMENT", "RESOURCE_EXHAUSTED")
    )


def test_metadata_without_end():
    async def work(stage, address):
        with pytest.raises(client.CallError) as error:
            await client.query(stage.channel("big"), STATEMENT, (("x-once", "5" * 40_000),))
        return error.value.code, (await client.query(stage.channel(), STATEMENT)).num_rows

    assert run_with_front(work) == ("RESOURCE_EXHAUSTED", len(ROWS))


def frame(kind, flags, stream, payload):
    """Return an HTTP/2 frame (RFC 9113, 4.1)."""
    return struct.pack(">I", len(payload))[1:] + bytes((kind, flags)) + struct.pack(">I", stream) + payload


def literal_header(name, value):
    """Return an HPACK literal header field without indexing, with a new name (RFC 7541, 6.2.2)."""
    return b"\x00" + bytes((len(name),)) + name + bytes((len(value),)) + value


def test_a_gigabyte_declared_and_half_open_streams():
    """Messages declared as 1 GiB long and silent connections must not keep other clients from being served.

    The HTTP/2 frames are built here, as no client library sends such messages; the length prefix is gRPC's.
    """

    async def work(stage, address):
        path = codec.SERVICE.encode() + b"DoPut"
        head = b"".join(
            (
                literal_header(b":method", b"POST"),
                literal_header(b":scheme", b"http"),
                literal_header(b":path", path),
                literal_header(b":authority", b"x"),
                literal_header(b"te", b"trailers"),
                literal_header(b"content-type", b"application/grpc"),
            )
        )
        port, socks = stage.server.flight.server.port, []
        for _ in range(20):
            sock = socket.create_connection(("127.0.0.1", port))
            sock.sendall(
                b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
                + frame(4, 0, 0, b"")
                + frame(1, 4, 1, head)
                + frame(0, 0, 1, struct.pack(">BI", 0, 1 << 30) + b"x" * 100)
            )
            socks.append(sock)
        # Connections that send nothing.
        socks += [socket.create_connection(("127.0.0.1", port)) for _ in range(20)]
        found = [(await client.query(stage.channel(), STATEMENT)).num_rows for _ in range(3)]
        for sock in socks:
            sock.close()
        return found, len(stage.server.batches.by_number)

    assert run_with_front(work) == ([len(ROWS)] * 3, 0)


def test_hundreds_of_streams():
    """Calls past the limit on streams fail with a status, the others succeed, and nothing stays open."""

    async def work(stage, address):
        many = [stage.channel(f"many {n}") for n in range(10)]
        stage.engines["f"].steps["DoGet"].extend([("wait",)] * 20)
        calls = [
            asyncio.create_task(client.query(many[n % 10], f"select a from sales_{n}.x")) for n in range(300)
        ]
        await stage.until(lambda: stage.engines["f"].recorder.count("arrived") >= 20)
        other_client = asyncio.create_task(client.query(stage.channel(), STATEMENT))
        stage.engines["f"].released.set()
        found = await asyncio.gather(*calls, other_client, return_exceptions=True)
        return [f.num_rows if type(f) is pa.Table else f.code for f in found], stage

    found, stage = run_with_front(
        work, "flight_engine f", 'flight_section group="lookup" streams=40', "front"
    )
    assert set(found) <= {len(ROWS), "RESOURCE_EXHAUSTED", "INTERNAL", "DEADLINE_EXCEEDED"}
    assert len(found) == 301 and found.count(len(ROWS)) >= 40
    assert not stage.server.batches.by_number and not stage.server.flight.server.open_batches
    assert stage.server.flight.engines.quota.reserved == 0


def test_the_catalogue_and_facts():
    async def work(stage, address):
        async def ask(message):
            info = pb.FlightInfo.FromString(
                await client.unary(stage.channel(), "GetFlightInfo", descriptor(message))
            )
            schema = await client.unary(stage.channel(), "GetSchema", descriptor(message))
            assert pb.SchemaResult.FromString(schema).schema == info.schema
            return (await client.get(stage.channel(), info.endpoint[0].ticket)).to_pylist()

        return (
            await ask(sql.CommandGetCatalogs()),
            await ask(sql.CommandGetDbSchemas(db_schema_filter_pattern="sal%")),
            await ask(sql.CommandGetTables(table_name_filter_pattern="_rders", include_schema=True)),
            await ask(sql.CommandGetTables(catalog="other")),
            await ask(sql.CommandGetSqlInfo(info=[0, 3, 9, 77])),
            await ask(sql.CommandGetXdbcTypeInfo(data_type=12)),
            await ask(sql.CommandGetTables(table_name_filter_pattern="%a" * 60)),
        )

    tables = (
        'flight_section group="lookup" '
        'tables=[{"schema":"sales_17","name":"orders"},{"schema":"hr","name":"staff"}]'
    )
    catalogs, schemas, found, none, facts, types, long = run_with_front(
        work, "flight_engine f", tables, "front"
    )
    assert catalogs == [{"catalog_name": "thistlelever"}]
    assert [row["db_schema_name"] for row in schemas] == ["sales_17"]
    assert found[0]["table_name"] == "orders" and pa.ipc.read_schema(pa.py_buffer(found[0]["table_schema"]))
    assert none == long == []
    assert [(row["info_name"], row["value"]) for row in facts] == [(0, "thistlelever"), (3, False), (9, True)]
    assert [row["type_name"] for row in types] == ["varchar"]
