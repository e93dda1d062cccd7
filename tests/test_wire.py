"""Codecs of HTTP, JSON-RPC, DNS and statements: complete input, input split at each byte, malformed input."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from stage import dns_answer

from thistlelever.carrier.directory import SERVICE_NAME
from thistlelever.wire import dns, http, jsonrpc, statement
from thistlelever.wire.read_buffer import BufferQuota, ReadBuffer, TooLong

PAGE = b"HTTP/1.1 200 OK\r\nChunk:  2 \r\nX-Gauges: inflight:7;util:0.61\r\nContent-Length: 5\r\n\r\nrow\t1"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Gauges: util:0.61;inflight:7\r\nChunk: 2\r\n"
    b"\r\n3;x=y\r\nrow\r\n2\r\n\t1\r\n0\r\nTrailer: t\r\n\r\n"
)
LISTING = dns_answer(77, 41, {"s-1": (8443, False), "s-2": (8444, True)})


def read_split(data, cuts, read, size=16):
    """Copies of the messages that `read` finds in a buffer that is filled piece by piece."""
    buffer, found, at = ReadBuffer(size, 4096), [], 0
    for cut in (*cuts, len(data)):
        while at < cut:
            room = buffer.writable()
            piece = data[at : min(cut, at + len(room))]
            room[: len(piece)] = piece
            buffer.advance(len(piece))
            at += len(piece)
            while (message := read(buffer)) is not None:
                found.append(bytes(message) if isinstance(message, memoryview) else as_values(message))
    return found


def as_values(reply):
    return (
        reply.status,
        bytes(reply.body),
        reply.number(b"chunk"),
        http.parse_load_report(reply.text(b"x-gauges"), ("inflight", "util")),
        reply.keeps,
    )


@pytest.mark.parametrize("data", [PAGE, CHUNKED])
def test_a_reply_cut_at_each_byte(data):
    # Guards against taking a partial head or body for a complete one, or bytes of the next reply.
    two = b"HTTP/1.1 100 Continue\r\n\r\n" + data + b"HTTP/1.0 204 X\r\n\r\n"
    wanted = [(200, b"row\t1", 2.0, (7.0, 0.61), True), (204, b"", None, (), False)]
    for cut in range(len(two)):
        assert read_split(two, [cut], http.read_reply) == wanted, cut


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/2 200\r\n\r\n",
        b"HTTP/1.1 2x0 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n: x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX: " + b"x" * 9000,
    ],
)
def test_a_reply_out_of_form(data):
    with pytest.raises((http.Unreadable, TooLong)):
        read_split(data, [], http.read_reply)


def test_lines_cut_at_each_byte_and_a_slice_holds_until_the_next_read():
    data = b'{"a":1}\n' + b"x" * 40 + b"\n\nlast\n"
    for cut in range(len(data)):
        assert read_split(data, [cut], ReadBuffer.next_line) == [b'{"a":1}', b"x" * 40, b"", b"last"], cut
    with pytest.raises(TooLong):
        read_split(b"x" * 5000, [], ReadBuffer.next_line)


def test_a_list_is_read_and_each_cut_of_it_refused():
    listing = dns.decode_list(LISTING, 77, SERVICE_NAME)
    assert listing.serial == 41
    first, second = listing.engines
    assert (first.id, first.zone, first.address) == ("s-1", "nord", ("127.0.0.1", 8443))
    assert not first.draining
    assert (second.draining, second.weight, second.facts["kind"]) == (True, 4.0, "std")
    for cut in range(len(LISTING)):
        with pytest.raises(dns.Unreadable):
            dns.decode_list(LISTING[:cut], 77, SERVICE_NAME)


@pytest.mark.parametrize(
    "at, value",
    [
        (1, 78),
        (2, 0x04),
        (2, 0x86),
        (3, 0x02),
        # A loop of compression pointers would block the front forever; the first record's owner points to 12.
        (12 + 25 + 1, 12 + 25),
        (12 + 25 + 1, 200),
    ],
)
def test_a_list_out_of_form(at, value):
    data = bytearray(LISTING)
    data[at] = value
    with pytest.raises(dns.Unreadable):
        dns.decode_list(bytes(data), 77, SERVICE_NAME)


@pytest.mark.parametrize(
    "text, found",
    [
        ("select a from sales_17.orders", (17, b"sales_17.orders")),
        ("-- from old_1.t\nselect 'from x_2.t', ''' y_3.t' /* z_4.t */ from sales_5.o", (5, b"sales_5.o")),
        ("insert into staging.batch_9 select * from sales_6.orders", (6, b"sales_6.orders")),
        ('select o_3.total from "sales_7" . "orders" o_3', (7, b"sales_7.orders")),
        ("merge x_8.facts", (8, b"x_8.facts")),
        ("select 1 from staging.orders_3", None),
        ("select 'from sales_1.t", None),
        ("/* from sales_1.t", None),
    ],
)
def test_the_table_group_of_a_statement(text, found):
    assert statement.find_table(text.encode()) == found


def test_an_answer_keeps_its_rows_and_a_pushback_its_time():
    answer = jsonrpc.encode_result(7, [b"a\tb\n", b"c\n"])
    assert answer == b'{"jsonrpc":"2.0","id":7,"result":{"bytes":"YQliCmMK"}}\n'
    assert b'"data":{"after":200}' in jsonrpc.encode_error(7, -32001, "x", 0.2)


# An invalid number such as `nan` would stay in the averages of the decisions for good.
@pytest.mark.parametrize(
    "text, report",
    [
        ("util:0.5;inflight:3;more:1", (3.0, 0.5)),
        ("util:0.5", ()),
        ("", ()),
        ("util", ()),
        ("util:nan;inflight:3", ()),
        ("util:0.5;inflight:inf", ()),
        ("util:-1;inflight:3", ()),
    ],
)
def test_a_load_report_is_whole_or_none(text, report):
    assert http.parse_load_report(text, ("inflight", "util")) == report


@pytest.mark.parametrize(
    "body, whole",
    [
        (b"", True),
        (b"a\tb\tc\n", True),
        (b"\t\t\n" * 2000, True),
        (b"\t\t\n" * 2001, False),
        (b"a\tb\tc", False),
        (b"a\tb\n", False),
        (b"a\tb\tc\td\n", False),
        (b"a\tb\tc\n\n", False),
    ],
)
def test_a_page_holds_whole_rows_of_three_columns(body, whole):
    if whole:
        assert http.check_page(memoryview(body)) == body
    else:
        with pytest.raises(http.Unreadable):
            http.check_page(memoryview(body))


# Recursion on interim replies would exhaust the stack, and an endless series of them is not a reply.
def test_interim_replies_without_end_are_none():
    buffer = ReadBuffer(65_536, 65_536)
    sent = b"HTTP/1.1 100 X\r\n\r\n" * 3000
    buffer.writable()[: len(sent)] = sent
    buffer.advance(len(sent))
    with pytest.raises(http.Unreadable):
        http.read_reply(buffer)


@given(st.lists(st.integers(0, 400), max_size=12), st.lists(st.integers(1, 97), min_size=1), st.booleans())
def test_lines_read_beside_a_grown_buffer_are_the_lines_sent(lengths, pieces, handles_at_once):
    """Guards against bytes that are lost or doubled where a small buffer takes the place of a grown one."""
    lines = [bytes(97 + (index + at) % 26 for at in range(length)) for index, length in enumerate(lengths)]
    sent, found, at, turn = b"".join(line + b"\n" for line in lines), [], 0, 0
    buffer = ReadBuffer(16, 512)
    while at < len(sent):
        target = buffer.writable_beside_lines()
        if handles_at_once or turn % 3 == 0:
            found += [bytes(line) for line in iter(buffer.next_line, None)]
            buffer.release_behind_lines()
        count = min(len(target), pieces[turn % len(pieces)], len(sent) - at)
        target[:count] = sent[at : at + count]
        buffer.advance(count)
        at, turn = at + count, turn + 1
        if buffer.end == len(buffer.data):
            found += [bytes(line) for line in iter(buffer.next_line, None)]
    found += [bytes(line) for line in iter(buffer.next_line, None)]
    assert found == lines


# A few hundred clients, each with a long unfinished line, would exhaust the memory of the front.
def test_unfinished_lines_share_one_quota():
    quota = BufferQuota(10)
    first, second = ReadBuffer(4, 12, quota), ReadBuffer(4, 12, quota)
    for buffer in (first, second):
        buffer.writable()
        buffer.advance(4)
    first.writable()
    first.advance(4)
    second.writable()
    second.advance(4)
    with pytest.raises(TooLong):
        first.writable()
    second.release()
    assert len(first.writable()) == 4
