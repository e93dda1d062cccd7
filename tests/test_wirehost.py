"""The adapter of the binary protocol: the examples of its specification, and malformed input."""

import io
import struct

import pytest

from thistlelever.ground import interface as it
from thistlelever.wirehost import codec
from thistlelever.wirehost.host import serve

SUBMIT = "0a 0300 c4913a5d374f0400 0000 0000 640ad2557c3bf091 80a90300 e02e0000 0000c043 00003041 01"
DIRECTORY = "14 0000 01000000 0000 00 0a124a07431f 01 0000000000000000 0000 0000803f"


def frame(count, *records):
    body = b"".join(bytes.fromhex(r) for r in records)
    return struct.pack("<IIQ", len(body) + 12, count, 8_000_000) + body


def test_events_read_as_written():
    returned = "78 0300 c4913a5d374f0400 00 0a124a07431f 01 44480000 01 60100100 03 0000e04052b81e3f0000a03f"
    events = codec.FrameReader().read_frame(2, bytes.fromhex(SUBMIT + returned))
    received, ended = (event for _, event in events)
    assert (received.time_limit, received.work, received.memory, received.table_group) == (
        0.24,
        0.012,
        384.0,
        11.0,
    )
    assert (ended.outcome, ended.complete, ended.true_memory) == (it.DispatchOutcome.RETURNED, True, 384.0)
    assert ended.report[0] == 7.0 and len(ended.report) == 3


def test_actions_written_as_the_page_shows():
    engine = bytes.fromhex("0a124a07431f")
    sent = codec.encode_action(3, it.Dispatch(0x44F375D3A91C4, engine, 0.08))
    assert sent == bytes.fromhex("46 0300 c4913a5d374f0400 0a124a07431f 80380100")
    assert codec.encode_action(3, it.Terms(0x44F375D3A91C4, 640.0, 2)) == bytes.fromhex(
        "82 0300 c4913a5d374f0400 00002044 02"
    )


def test_a_list_slot_used_twice_in_a_frame_is_looked_up_in_order():
    roster = "46 0300 2900000000000000 0000 03"
    other = DIRECTORY.replace("431f", "4320")
    events = codec.FrameReader().read_frame(4, bytes.fromhex(DIRECTORY + roster + other + roster))
    assert [event.engines[0].id[-1] for _, event in events] == [0x1F, 0x20]


@pytest.mark.parametrize(
    "data, text",
    [
        (frame(0)[:7], "header"),
        (frame(1, SUBMIT)[:30], "input ended inside a frame"),
        (frame(1, "63 0300"), "unknown event code 99"),
        (frame(1, SUBMIT[:-3]), "cut short"),
        (frame(1, SUBMIT, "3c 0300"), "left over"),
        (frame(1, "46 0300 2900000000000000 0500 03"), "list 5"),
        (struct.pack("<IIQ", 12, 5, 0), "impossible"),
    ],
)
def test_malformed_input_ends_with_one_line(data, text):
    errors = io.StringIO()
    assert serve(io.BytesIO(data), io.BytesIO(), errors) == 1
    assert text in errors.getvalue() and errors.getvalue().count("\n") == 1


def test_a_missing_setting_is_named_and_the_end_of_input_is_clean():
    conf = b"Balancers=2\n"
    new = bytes.fromhex("64 0300") + struct.pack("<QI", 1, len(conf)) + conf
    sink = io.BytesIO()
    assert serve(io.BytesIO(struct.pack("<IIQ", len(new) + 12, 1, 0) + new), sink, io.StringIO()) == 0
    assert b"setting Classes.count is missing" in sink.getvalue()
