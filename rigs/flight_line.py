"""The Flight rig's clients at the JSON-RPC door."""

import asyncio
import json
from base64 import b64decode, b64encode
from collections import Counter
from contextlib import suppress

from rigs.flight_batches import right
from rigs.flight_terms import LIMIT_MS

# What clients do that leaves them without an answer to wait for.
LEAVERS = ("withdraws", "hangs up", "cancels", "calls off")


class Line:
    """One client's connection to the JSON-RPC door; every line that comes is counted."""

    def __init__(self, rig):
        self.rig, self.next, self.open_calls, self.heard = rig, 0, {}, Counter()

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(*self.rig.listen, limit=2**20)
        self.hearing = asyncio.create_task(self.hear())
        return self

    async def ask(self, asked):
        if self.writer.is_closing() or self.hearing.done():
            # Closed while it idled, as a front may.
            await self.open()
        self.next += 1
        asked.number, done = self.next, asyncio.get_running_loop().create_future()
        self.open_calls[self.next] = asked, done
        params = {
            "id": self.rig.chance.seed.to_bytes(4, "big").hex() + f"{asked.place:08x}",
            "wait": LIMIT_MS,
            "tenant": "acme",
            "cost": 10,
            "need_mb": 8,
            "bytes": b64encode(asked.statement().encode()).decode(),
        }
        if asked.group == "load":
            params["once"] = asked.mark
        if asked.of:
            params["retry"] = 1
        call = {"jsonrpc": "2.0", "id": self.next, "method": asked.group, "params": params}
        self.writer.write(json.dumps(call).encode() + b"\n")

    async def answered(self, asked):
        with suppress(TimeoutError):
            async with asyncio.timeout(LIMIT_MS / 1e3 + 2):
                await self.open_calls[asked.number][1]

    def withdraw(self, asked):
        call = {"jsonrpc": "2.0", "method": "withdraw", "params": {"id": asked.number}}
        self.writer.write(json.dumps(call).encode() + b"\n")

    def leave(self):
        self.hearing.cancel()
        self.writer.close()

    async def hear(self):
        with suppress(ConnectionError):
            while line := await self.reader.readline():
                said = json.loads(line)
                asked, done = self.open_calls[said["id"]]
                asked.answers += 1
                # A second answer is one too many whoever it is for.
                self.heard[said["id"]] += 1
                if asked.manner in LEAVERS and self.heard[said["id"]] > 1:
                    self.rig.extra_answers += 1
                if "result" in said:
                    asked.what = "returned"
                    rows = b64decode(said["result"]["bytes"]).decode().splitlines()
                    self.rig.rows_wrong += not right(asked, [tuple(row.split("\t")) for row in rows])
                else:
                    asked.what = "pushed back" if said["error"]["code"] == -32001 else "errored"
                    self.rig.statuses[str(said["error"]["code"])] += 1
                if not done.done():
                    done.set_result(None)
