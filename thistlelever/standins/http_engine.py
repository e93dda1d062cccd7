"""A fake engine with the HTTP/1.1 protocol of the platform."""

import asyncio
from collections import defaultdict, deque

from thistlelever.standins.recorder import Recorder


def unescaped(words):
    """Return the words as bytes, with escapes such as `\\r` replaced."""
    return " ".join(words).encode().decode("unicode_escape").encode("latin-1")


def rows(*words):
    """Return rows of three columns, each from a word with `_` between the columns."""
    return "".join("\t".join((word.split("_") + ["", ""])[:3]) + "\n" for word in words)


# Steps that engines of both protocols have, as HTTP answers.
COMMON_STEPS = {"full": ["503", "X-Unrun=1"], "unsent": ["504", "X-Unrun=1"], "error": ["500"]}
MAX_PAGE_BYTES = 6_000
# Seconds after which a call for a batch that is still running is answered with 202.
LONG_POLL_TIMEOUT = 0.25


class Engine:
    """Answers each call by its next scripted step, or else as a healthy engine.

    A result is kept until the front deletes it. `result` returns the rows of a statement.
    """

    def __init__(self, stir):
        """Take the event to set on each call."""
        self.stir, self.steps, self.calls, self.recorder = stir, defaultdict(deque), [], Recorder()
        self.text = rows("rows")
        # The running time of a batch in seconds, by its id; or the coroutine function that runs one by its id
        # and statement, with the running ones: a call waits for up to `LONG_POLL_TIMEOUT`.
        self.duration, self.run_statement, self.running = lambda txn: 0.0, None, {}
        self.result = lambda statement: self.text
        # The step of a call without a scripted one, by call and batch id; None for a healthy answer.
        self.fault = lambda call, txn: None
        self.extra_headers = {}
        # Whether a POST after another call on its connection is run but answered with a refusal, like a late
        # copy of an earlier one.
        self.repeats_refusals = False
        # The cost in milliseconds reported with a result, by its statement; None reports none.
        self.cost = lambda statement: None
        self.kept, self.costs, self.mute, self.holds_posts = {}, {}, set(), False
        # When each batch was last requested; it is dropped, running or finished, after `drops_after` seconds.
        self.asked, self.drops_after = {}, float("inf")
        self.released, self.writers, self.connections = asyncio.Event(), [], 0

    async def start(self):
        """Listen on a free port of the loopback address, `port`."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        """Read and answer the calls of one connection."""
        self.writers.append(writer)
        self.connections += 1
        calls = 0
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                verb, path, version = head[0].split()
                if version != "HTTP/1.1":
                    raise ValueError(f"a request of another protocol: {head[0]!r}")
                fields = dict(line.lower().split(": ", 1) for line in head[1:] if line)
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                self.calls.append((verb + path.rpartition("/")[2] if verb == "GET" else verb, fields, body))
                self.stir.set()
                calls += 1
                if self.repeats_refusals and calls > 1 and verb == "POST":
                    self.steps["POST"].append(["ran", "full"])
                if not await self.act(writer, self.calls[-1][0], fields, path, body):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()
            if writer in self.writers:
                self.writers.remove(writer)

    async def act(self, writer, call, fields, path, body):
        """Answer one call; returns whether the connection stays open."""
        txn = fields.get("x-txn") or (path.split("/") + ["", ""])[2]
        batch = txn, fields.get("x-dedupe", ""), fields.get("x-lane", "")
        self.sweep()
        if call in ("POST", "GET0"):
            self.asked[txn] = asyncio.get_running_loop().time()
        if call == "POST":
            self.recorder.record_arrival(*batch)
            if self.holds_posts:
                await self.released.wait()
            if self.duration(txn):
                await asyncio.sleep(self.duration(txn))
            if self.run_statement:
                self.running[txn] = asyncio.create_task(self.run_statement(txn, body)), batch, body
        if txn in self.running and call in ("POST", "GET0"):
            work, whole, statement = self.running[txn]
            await asyncio.wait((work,), timeout=LONG_POLL_TIMEOUT)
            if not work.done():
                writer.write(b"HTTP/1.1 202 X\r\nContent-Length: 0\r\n\r\n")
                return True
            if self.running.pop(txn, None) and call == "GET0":
                self.healthy_answer("POST", whole, statement)
        if call == "DELETE" and txn in self.running:
            self.running.pop(txn)[0].cancel()
        step = self.steps[call].popleft() if self.steps[call] else self.fault(call, txn)
        what, *words = step or self.healthy_answer(call, batch, body)
        if what == "hold":
            await self.released.wait()
            what, *words = words or self.healthy_answer(call, batch, body)
        what, *words = COMMON_STEPS.get(what, [what, *words])
        if what == "ran":
            # The statement runs, and the next step decides the answer.
            self.healthy_answer(call, batch, body)
            what, *words = COMMON_STEPS.get(words[0], words)
        if call in ("POST", "GET0") and what in ("500", "503", "504") or call[:3] == "GET" and what == "500":
            whose = self.kept.pop(txn, (None, batch))[1]
            self.recorder.record_end(*whose, "refused" if "X-Unrun=1" in words else "answered")
        if what == "reset":
            if call == "POST" and txn not in self.kept:
                # The request counts as lost in the network: the engine never received it.
                self.recorder.record_end(*batch, "unheard")
            writer.transport.abort()
            return False
        if what == "silent":
            self.mute.add(txn)
        if what == "raw":
            writer.write(unescaped(words))
        elif what != "silent":
            pairs = dict(word.split("=", 1) for word in words) | self.extra_headers
            body = rows(pairs.pop("body")) if "body" in pairs else pairs.pop("page", "")
            head = "".join(f"{name}: {value}\r\n" for name, value in pairs.items())
            length = "" if what == "204" else f"Content-Length: {len(body)}\r\n"
            writer.write(f"HTTP/1.1 {what} X\r\n{head}{length}\r\n{body}".encode())
        return True

    def healthy_answer(self, call, batch, body):
        """Return the answer of a healthy engine, in the form of a step."""
        if call == "POST":
            self.recorder.record_run(*batch)
            self.kept[batch[0]] = pages(self.result(body)), batch
            self.costs[batch[0]] = self.cost(body)
            if len(self.kept[batch[0]][0]) == 1:
                self.recorder.record_end(*batch, "answered")
        if call == "DELETE":
            gone = self.kept.pop(batch[0], ([], batch))[1]
            self.recorder.record_end(*gone, "given up")
        if call in ("DELETE", "PUT"):
            return ["204"]
        if call == "GETstats":
            return ["200"]
        if batch[0] in self.mute:
            return ["silent"]
        kept, whole = self.kept.get(batch[0], ([], batch))
        number = 0 if call == "POST" else int(call[3:])
        if number >= len(kept):
            return ["500"]
        if number == len(kept) - 1 and call != "POST":
            self.recorder.record_end(*whole, "answered")
        said = [f"Chunk={number}" if number else f"Chunks={len(kept)}", "page=" + kept[number]]
        cost = self.costs.pop(batch[0], None) if not number else None
        return ["200", *said, *([f"Elapsed-Work={cost:g}"] if cost is not None else ())]

    def sweep(self):
        """Drop batches that have not been requested for `drops_after` seconds."""
        till = asyncio.get_running_loop().time() - self.drops_after
        for txn in [txn for txn, at in self.asked.items() if at < till]:
            del self.asked[txn]
            if txn in self.running:
                work, batch, _ = self.running.pop(txn)
                work.cancel()
                self.recorder.record_end(*batch, "dropped unasked")
            if kept := self.kept.pop(txn, None):
                self.recorder.record_end(*kept[1], "dropped unasked")

    async def stop(self):
        """Stop listening and close all connections."""
        self.server.close()
        self.hang_up()

    def hang_up(self):
        """Close all connections."""
        for writer in self.writers:
            writer.close()
        self.writers.clear()


def pages(text):
    """Split rows into pages of whole rows, each of at most `MAX_PAGE_BYTES`."""
    found = [""]
    for row in text.splitlines(keepends=True):
        if len(found[-1]) + len(row) > MAX_PAGE_BYTES:
            found.append("")
        found[-1] += row
    return found
