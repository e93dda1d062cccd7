"""An engine that speaks HTTP/1.1 as the platform's do."""

import asyncio
from collections import defaultdict, deque

from thistlelever.standins.recorder import Recorder


def unescaped(words):
    return " ".join(words).encode().decode("unicode_escape").encode("latin-1")


def rows(*words):
    """Each word a row of three columns, `_` between."""
    return "".join("\t".join((word.split("_") + ["", ""])[:3]) + "\n" for word in words)


# Steps that say the same of engines of every kind, in this kind's words.
COMMON_STEPS = {"full": ["503", "X-Unrun=1"], "unsent": ["504", "X-Unrun=1"], "error": ["500"]}
MAX_PAGE_BYTES = 6_000
# What is not over by then is said to be at work (202).
LONG_POLL_TIMEOUT = 0.25


class Engine:
    """Answers each call by what its script says next for it, else as a healthy engine, which keeps each
    result until it is given up. `result` makes a batch's rows of its statement."""

    def __init__(self, stir):
        self.stir, self.steps, self.calls, self.recorder = stir, defaultdict(deque), [], Recorder()
        self.text = rows("rows")
        # How long a batch runs, in seconds, by its id; or a coroutine of its id and statement that runs it,
        # and then those that run: a call waits for one for as long as the protocol says.
        self.duration, self.run_statement, self.running = lambda txn: 0.0, None, {}
        self.result = lambda statement: self.text
        # Where no step is scripted: what a call does, by its name and the batch's id; None for as usual.
        self.fault = lambda call, txn: None
        self.extra_headers = {}
        # Whether a POST behind another call gets what looks like a late copy of an earlier refusal.
        self.repeats_refusals = False
        # The work in milliseconds that a batch's end tells, by its statement; None for no word of it.
        self.cost = lambda statement: None
        self.kept, self.costs, self.mute, self.holds_posts = {}, {}, set(), False
        # When each batch was last asked for; what has not been for so long is dropped, at work or over.
        self.asked, self.drops_after = {}, float("inf")
        self.released, self.writers, self.connections = asyncio.Event(), [], 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.append(writer)
        self.connections += 1
        calls = 0
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                verb, path, _ = head[0].split()
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
            # It takes effect, and then what follows happens to its answer.
            self.healthy_answer(call, batch, body)
            what, *words = COMMON_STEPS.get(words[0], words)
        if call in ("POST", "GET0") and what in ("500", "503", "504") or call[:3] == "GET" and what == "500":
            whose = self.kept.pop(txn, (None, batch))[1]
            self.recorder.record_end(*whose, "refused" if "X-Unrun=1" in words else "answered")
        if what == "reset":
            if call == "POST" and txn not in self.kept:
                # The network lost it: the engine never had it.
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
        """What a healthy engine answers."""
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
        """Drop what nobody has asked for in so long."""
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
        self.server.close()
        self.hang_up()

    def hang_up(self):
        for writer in self.writers:
            writer.close()
        self.writers.clear()


def pages(text):
    """Rows in pages of whole rows, as long as a page may be."""
    found = [""]
    for row in text.splitlines(keepends=True):
        if len(found[-1]) + len(row) > MAX_PAGE_BYTES:
            found.append("")
        found[-1] += row
    return found
