"""Late second copies of replies: none is taken for the answer to the next call on its connection."""

import asyncio
from base64 import b64decode

import pytest
from test_moments import play, served

from thistlelever.store.batches import DispatchName

# In seconds: how long the true answer takes behind a copy, longer than a page is watched for what follows it.
TRUE_ANSWER_AFTER_S = 0.05
# Two engine connections, so that calls share them.
FEW_CONNECTIONS = "engine a\nfront 43"


class CopyingWriter:
    """Keeps what an engine writes as the reply to a call."""

    def __init__(self, writer):
        self.writer, self.written = writer, b""

    def write(self, data: bytes) -> None:
        self.written += data
        self.writer.write(data)

    def __getattr__(self, name: str):
        return getattr(self.writer, name)


def copy_pages(engine) -> list[str]:
    """Let a copy of the last page on a connection come before the next one there; returns whose they were."""
    act, last, crossed = engine.act, {}, []

    async def copying(writer, call, fields, path, body):
        if call != "GET1":
            return await act(writer, call, fields, path, body)
        if copied := last.get(writer):
            crossed.append(path)
            writer.write(copied)
            await asyncio.sleep(TRUE_ANSWER_AFTER_S)
        keeping = CopyingWriter(writer)
        stays = await act(keeping, call, fields, path, body)
        last[writer] = keeping.written
        return stays

    engine.act = copying
    return crossed


def note_calls(engine) -> list[tuple[str, object]]:
    """Note the calls that an engine gets from now on, each with its connection."""
    act, noted = engine.act, []

    async def noting(writer, call, *request):
        noted.append((call, writer))
        return await act(writer, call, *request)

    engine.act = noting
    return noted


def rows_of(statement: bytes) -> str:
    """Two pages of rows that are the statement's own."""
    table = statement.decode().split()[3]
    return f"{table}\ta\t1\n" * 400


def test_a_copy_of_a_page_is_not_served_as_the_page_of_another_batch():
    """Guards against rows of another request, where the true page comes behind the watch (review/1)."""

    async def whole():
        async with served(FEW_CONNECTIONS) as stage:
            engine = stage.engines["a"]
            engine.result = rows_of
            crossed = copy_pages(engine)
            for number in range(1, 7):
                await play(stage, f"submit {number} lookup table=sales_17.orders_{number}")
                await stage.until(lambda count=number: len(stage.answers) == count)
            assert crossed
            return {answer["id"]: b64decode(answer["result"]["bytes"]).decode() for answer in stage.answers}

    for number, text in asyncio.run(whole()).items():
        assert text == f"sales_17.orders_{number}\ta\t1\n" * 400


REFUSAL = "503 X-Unrun=1"
WITHDRAW = 'send {"jsonrpc":"2.0","id":9,"method":"withdraw","params":{"id":1}}'
# The steps before the reply, and the call that it answers.
PROOFS = {
    "a refusal": (f"on a POST {REFUSAL}\nsubmit 1 lookup\nanswer 1 result rows", "POST"),
    "a refusal to a poll": (
        f"on a POST 202\non a GET0 {REFUSAL}\nsubmit 1 lookup\nanswer 1 result rows",
        "GET0",
    ),
    "the reply to a cancel": (
        f"on a POST 202\non a GET0 hold\nsubmit 1 lookup\nsaw a GET0\n{WITHDRAW}",
        "DELETE",
    ),
}


@pytest.mark.parametrize("kind", PROOFS)
def test_no_call_follows_a_reply_that_proves_something_on_its_connection(kind):
    """Guards against a copy of a refusal or of a cancel's reply that proves the same of the next batch."""
    script, proven_call = PROOFS[kind]

    async def whole():
        async with served(FEW_CONNECTIONS) as stage:
            engine = stage.engines["a"]
            made = note_calls(engine)
            await play(stage, script)
            await stage.until(lambda: any(call == proven_call for call, _ in made))
            engine.released.set()
            # Two at a time, so that they use all connections that may be used.
            await play(stage, "passes 0.02\nsubmit 2 lookup\nsubmit 3 lookup")
            await play(stage, "answer 2 result rows\nanswer 3 result rows")
            return made

    made = asyncio.run(whole())
    place = next(place for place, (call, _) in enumerate(made) if call == proven_call)
    assert made[place][1] not in [writer for _, writer in made[place + 1 :]]


def test_the_status_of_a_run_is_asked_on_a_connection_that_carried_nothing():
    """Guards against a copy of a page by which another front's run counts as over."""

    async def whole():
        async with served(FEW_CONNECTIONS) as stage:
            made = note_calls(stage.engines["a"])
            await play(stage, "submit 1 lookup\nanswer 1 result rows\npasses 0.02")
            (entry,) = stage.server.registry.entries.values()
            protocol = stage.server.dispatcher.protocol(entry)
            # The stand-in answers 500 for what it does not know.
            assert await protocol.query_status(entry, DispatchName("a" * 16, 0)) == "unknown"
            return made

    (first_call, first), (second_call, second) = asyncio.run(whole())
    assert (first_call, second_call) == ("POST", "GET0")
    assert first is not second
