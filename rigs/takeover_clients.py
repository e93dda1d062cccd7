"""The takeover rig's clients: they come back to another front with the same mark where there is no answer."""

import asyncio
import json
from base64 import b64decode, b64encode
from contextlib import suppress
from itertools import count

from rigs.loop_lag import LoopLag, lag_between
from rigs.loopback import connect_and_send
from rigs.takeover_terms import GIVES_UP, GROUPS, LIMIT, MOST_TRIES, PATIENCE

# Past its time limit a try is still owed an answer for so long, in seconds.
ANSWER_SLACK = 0.3


class Try:
    """One submission."""

    __slots__ = ("txn", "front", "start_number", "at", "answers", "what", "result", "answered_at", "closed")

    def __init__(self, txn, front, at):
        self.txn, self.front, self.start_number, self.at = txn, front, front.starts, at
        self.answers, self.what, self.result, self.answered_at, self.closed = 0, "", None, None, False


class Request:
    """One logical request: all that its client submits under one mark."""

    def __init__(self, group, mark, seconds, at):
        self.group, self.mark, self.seconds, self.at, self.tries = group, mark, seconds, at, []
        self.over_at, self.outcome = None, ""

    def results(self):
        return {t.result for t in self.tries if t.what == "returned"}


class Clients:
    """Submit to a front at a pace, and come back to another with the same mark where there is no answer."""

    def __init__(self, fleet, chance, every):
        self.fleet, self.chance, self.every = fleet, chance, every
        self.requests, self.numbers, self.marks = [], count(1), count(1)
        self.tasks, self.connections = set(), set()
        self.lag = LoopLag()
        self.aside(self.lag.run())
        self.pacing = [asyncio.create_task(self.pace(front)) for front in fleet.fronts]

    async def pace(self, front):
        for number in count():
            await asyncio.sleep(self.every * (0.5 + self.chance.share("pace", front.place, number)))
            self.aside(self.request(front, number))

    def elapsed(self, since):
        """Seconds since a moment in which this process could hear an answer: clients, engines and the network
        between are one loop, and while it stands still no front can be late."""
        now = asyncio.get_running_loop().time()
        return now - since - lag_between(self.lag.recorded, since, now)

    def aside(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def stop(self):
        for task in self.pacing:
            task.cancel()

    async def request(self, home, number):
        where = home.place, number
        _, group, low, high = self.chance.among([(g[0], g) for g in GROUPS], "group", *where)
        seconds = low + (high - low) * self.chance.share("seconds", *where)
        loop = asyncio.get_running_loop()
        mark = f"{next(self.marks):032x}"
        asked = Request(group, mark, seconds, loop.time())
        self.requests.append(asked)
        front, after, heard = home, 0.0, []
        while len(asked.tries) < MOST_TRIES and self.elapsed(asked.at) < GIVES_UP:
            one = Try(f"{next(self.numbers):016x}", front, loop.time())
            asked.tries.append(one)
            heard.append(self.aside(self.submit(asked, one, len(asked.tries) > 1)))
            await asyncio.wait(heard, timeout=PATIENCE, return_when=asyncio.FIRST_COMPLETED)
            heard = [task for task in heard if not task.done()]
            if self.settled(asked):
                break
            last = next((t for t in reversed(asked.tries) if t.what or t.closed), None)
            after = 0.05 if last is one or last is None else 0.0
            await asyncio.sleep(after)
            others = [f for f in self.fleet.fronts if f is not front]
            front = others[self.chance.below(len(others), "next", *where, len(asked.tries))]
        # What is still open may bring the outcome.
        while heard and not self.settled(asked) and self.elapsed(asked.at) < GIVES_UP:
            await asyncio.wait(heard, timeout=0.5, return_when=asyncio.FIRST_COMPLETED)
            heard = [task for task in heard if not task.done()]
        asked.over_at = asked.over_at or loop.time()
        asked.outcome = (
            "returned"
            if asked.results()
            else "errored"
            if any(t.what == "errored" for t in asked.tries)
            else "pushed back"
            if any(t.what for t in asked.tries)
            else "unheard"
        )

    def owed(self):
        """Whether a try may still be answered."""
        return any(
            not t.answers and not t.closed and self.elapsed(t.at) < LIMIT + ANSWER_SLACK
            for a in self.requests[-800:]
            for t in a.tries
        )

    def settled(self, asked):
        if asked.results():
            return True
        # An honest 'not known' of what may not run twice is an outcome once it was heard more than once.
        return asked.group != "lookup" and sum(t.what == "errored" for t in asked.tries) >= 3

    async def submit(self, asked, one, again):
        """One try, until its answer or the end of its connection."""
        try:
            address = one.front.host, one.front.port
            reader, writer = await connect_and_send(address, call(asked, one, again))
        except OSError:
            one.closed = True
            return
        self.connections.add(writer)
        try:
            while line := await reader.readline():
                if not line.endswith(b"\n"):
                    break
                one.answers += 1
                if one.answers > 1:
                    continue
                take_answer(asked, one, json.loads(line))
                # A second answer would still be seen for a while.
                asyncio.get_running_loop().call_later(1.0, writer.close)
                self.aside(self.listen(reader, one))
                return
        except (ConnectionError, asyncio.LimitOverrunError, ValueError):
            pass
        one.closed = True
        writer.close()

    async def listen(self, reader, one):
        with suppress(ConnectionError, ValueError):
            while line := await reader.readline():
                one.answers += line.endswith(b"\n")


def call(asked, one, again):
    """The line of a submission. A look-up carries no mark: nobody can come back for it."""
    text = f"/*{asked.mark}*/ {asked.group} {asked.mark} {asked.seconds:.3f} sales_17.orders"
    params = {
        "id": one.txn,
        "wait": LIMIT * 1e3,
        "tenant": "acme",
        "need_mb": 4,
        "cost": asked.seconds * 1e3,
        "bytes": b64encode(text.encode()).decode(),
    }
    params |= {"once": asked.mark} if asked.group != "lookup" else {}
    params |= {"retry": "1"} if again else {}
    return json.dumps({"jsonrpc": "2.0", "id": 1, "method": asked.group, "params": params}).encode() + b"\n"


def take_answer(asked, one, told):
    """Note what a try's first answer says."""
    one.answered_at = asyncio.get_running_loop().time()
    if "result" in told:
        rows = b64decode(told["result"]["bytes"]).split(b"\n", 1)[0]
        one.what, one.result = "returned", rows.decode()
        asked.over_at = asked.over_at or one.answered_at
    else:
        one.what = "pushed back" if told["error"]["code"] == -32001 else "errored"
