"""The JSON-RPC clients of the rig `flight`."""

import asyncio
import json
from base64 import b64decode, b64encode
from collections import Counter
from contextlib import suppress

from rigs.flight_batches import is_correct
from rigs.flight_terms import DEADLINE_MS

# Behaviours of clients that do not wait for an answer.
ABANDONING_BEHAVIOURS = ("withdraws", "hangs up", "cancels", "calls off")


class RpcClient:
    """A client of the front's JSON-RPC interface, with one connection. It counts every response."""

    def __init__(self, rig):
        self.rig, self.last_call_id, self.open_calls, self.response_counts = rig, 0, {}, Counter()

    async def open(self):
        """Connects and starts to read responses."""
        self.reader, self.writer = await asyncio.open_connection(*self.rig.listen, limit=2**20)
        self.reader_task = asyncio.create_task(self.read_responses())
        return self

    async def send(self, batch):
        """Sends the call of a batch, on a new connection if the old one was closed."""
        if self.writer.is_closing() or self.reader_task.done():
            # The front may close an idle connection.
            await self.open()
        self.last_call_id += 1
        batch.call_id, done = self.last_call_id, asyncio.get_running_loop().create_future()
        self.open_calls[self.last_call_id] = batch, done
        params = {
            "id": batch.rpc_id,
            "wait": DEADLINE_MS,
            "tenant": "acme",
            "cost": 10,
            "need_mb": 8,
            "bytes": b64encode(batch.statement().encode()).decode(),
        }
        if batch.query_class == "load":
            params["once"] = batch.key
        if batch.retry_of:
            params["retry"] = 1
        call = {"jsonrpc": "2.0", "id": self.last_call_id, "method": batch.query_class, "params": params}
        self.writer.write(json.dumps(call).encode() + b"\n")

    async def wait_for_response(self, batch):
        """Waits for the response to a batch, for 2 s past its deadline at most."""
        with suppress(TimeoutError):
            async with asyncio.timeout(DEADLINE_MS / 1e3 + 2):
                await self.open_calls[batch.call_id][1]

    def withdraw(self, batch):
        """Sends a notification that withdraws a batch."""
        call = {"jsonrpc": "2.0", "method": "withdraw", "params": {"id": batch.call_id}}
        self.writer.write(json.dumps(call).encode() + b"\n")

    def close(self):
        """Closes the connection without waiting for open calls."""
        self.reader_task.cancel()
        self.writer.close()

    async def read_responses(self):
        """Counts each response and checks its rows, until the connection ends."""
        with suppress(ConnectionError):
            while line := await self.reader.readline():
                response = json.loads(line)
                batch, done = self.open_calls[response["id"]]
                batch.answer_count += 1
                # A second answer to one call is an error, also for a client that abandoned the call.
                self.response_counts[response["id"]] += 1
                if batch.behaviour in ABANDONING_BEHAVIOURS and self.response_counts[response["id"]] > 1:
                    self.rig.extra_answers += 1
                if "result" in response:
                    batch.outcome = "returned"
                    rows = b64decode(response["result"]["bytes"]).decode().splitlines()
                    self.rig.rows_wrong += not is_correct(batch, [tuple(row.split("\t")) for row in rows])
                else:
                    batch.outcome = "pushed back" if response["error"]["code"] == -32001 else "errored"
                    self.rig.statuses[str(response["error"]["code"])] += 1
                if not done.done():
                    done.set_result(None)
