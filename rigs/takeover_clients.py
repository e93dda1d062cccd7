"""The clients of the takeover rig, which resubmit to another front with the same key when no answer comes."""

import asyncio
import json
from base64 import b64decode, b64encode
from contextlib import suppress
from itertools import count

from rigs.loop_lag import LoopLag, lag_between
from rigs.loopback import connect_and_send
from rigs.takeover_terms import GIVE_UP_S, MAX_SUBMISSIONS, QUERY_CLASSES, RESUBMIT_S, TIME_LIMIT_S

# An answer may come this long after the time limit of a submission.
ANSWER_SLACK_S = 0.3


class Submission:
    """One submission of a request to one front; times are of the event loop, in seconds."""

    __slots__ = ("txn", "front", "start_number", "at", "answers", "what", "result", "answered_at", "closed")

    def __init__(self, txn, front, at):
        self.txn, self.front, self.start_number, self.at = txn, front, front.starts, at
        self.answers, self.what, self.result, self.answered_at, self.closed = 0, "", None, None, False


class Request:
    """One logical request: all submissions under one idempotency key."""

    def __init__(self, query_class, key, seconds, at):
        self.query_class, self.key, self.seconds, self.at, self.submissions = (
            query_class,
            key,
            seconds,
            at,
            [],
        )
        self.over_at, self.outcome = None, ""

    def results(self):
        """Returns the different results among the answers."""
        return {t.result for t in self.submissions if t.what == "returned"}


class Clients:
    """Submit to each front at a given rate, and resubmit to others with the same key when no answer comes.

    `every` is the mean interval in seconds between the requests to one front.
    """

    def __init__(self, fleet, chance, every):
        self.fleet, self.chance, self.every = fleet, chance, every
        self.requests, self.numbers, self.keys = [], count(1), count(1)
        self.tasks, self.connections = set(), set()
        self.lag = LoopLag()
        self.spawn(self.lag.run())
        self.pacing = [asyncio.create_task(self.pace(front)) for front in fleet.fronts]

    async def pace(self, front):
        """Starts requests to one front until cancelled."""
        for number in count():
            await asyncio.sleep(self.every * (0.5 + self.chance.share("pace", front.place, number)))
            self.spawn(self.request(front, number))

    def elapsed(self, since):
        """Returns the seconds since a moment, without those in which this event loop was blocked.

        Clients, engines and the simulated network share the loop; while it is blocked no front can be late.
        """
        now = asyncio.get_running_loop().time()
        return now - since - lag_between(self.lag.recorded, since, now)

    def spawn(self, work):
        """Starts a task and keeps it until it is done."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def stop(self):
        """Starts no further requests."""
        for task in self.pacing:
            task.cancel()

    async def request(self, home, number):
        """Performs one request: submits it until it has an outcome, and records the outcome."""
        where = home.place, number
        _, query_class, low, high = self.chance.among([(g[0], g) for g in QUERY_CLASSES], "group", *where)
        seconds = low + (high - low) * self.chance.share("seconds", *where)
        loop = asyncio.get_running_loop()
        key = f"{next(self.keys):032x}"
        request = Request(query_class, key, seconds, loop.time())
        self.requests.append(request)
        front, after, pending = home, 0.0, []
        while len(request.submissions) < MAX_SUBMISSIONS and self.elapsed(request.at) < GIVE_UP_S:
            submission = Submission(f"{next(self.numbers):016x}", front, loop.time())
            request.submissions.append(submission)
            pending.append(self.spawn(self.submit(request, submission, len(request.submissions) > 1)))
            await asyncio.wait(pending, timeout=RESUBMIT_S, return_when=asyncio.FIRST_COMPLETED)
            pending = [task for task in pending if not task.done()]
            if self.settled(request):
                break
            last = next((t for t in reversed(request.submissions) if t.what or t.closed), None)
            after = 0.05 if last is submission or last is None else 0.0
            await asyncio.sleep(after)
            others = [f for f in self.fleet.fronts if f is not front]
            front = others[self.chance.below(len(others), "next", *where, len(request.submissions))]
        # Submissions that are still open may bring the outcome.
        while pending and not self.settled(request) and self.elapsed(request.at) < GIVE_UP_S:
            await asyncio.wait(pending, timeout=0.5, return_when=asyncio.FIRST_COMPLETED)
            pending = [task for task in pending if not task.done()]
        request.over_at = request.over_at or loop.time()
        request.outcome = (
            "returned"
            if request.results()
            else "errored"
            if any(t.what == "errored" for t in request.submissions)
            else "pushed back"
            if any(t.what for t in request.submissions)
            else "unheard"
        )

    def has_pending(self):
        """Whether a recent submission may still be answered."""
        return any(
            not t.answers and not t.closed and self.elapsed(t.at) < TIME_LIMIT_S + ANSWER_SLACK_S
            for a in self.requests[-800:]
            for t in a.submissions
        )

    def settled(self, request):
        """Whether the answers so far decide the request."""
        if request.results():
            return True
        # A batch that must not run twice may end with "not known"; three such answers are final.
        return request.query_class != "lookup" and sum(t.what == "errored" for t in request.submissions) >= 3

    async def submit(self, request, submission, is_retry):
        """Submits once and waits for the answer or the end of the connection."""
        try:
            address = submission.front.host, submission.front.port
            reader, writer = await connect_and_send(address, encode_submission(request, submission, is_retry))
        except OSError:
            submission.closed = True
            return
        self.connections.add(writer)
        try:
            while line := await reader.readline():
                if not line.endswith(b"\n"):
                    break
                submission.answers += 1
                if submission.answers > 1:
                    continue
                take_answer(request, submission, json.loads(line))
                # The connection stays open for a second, so that a second answer is noticed.
                asyncio.get_running_loop().call_later(1.0, writer.close)
                self.spawn(self.listen(reader, submission))
                return
        except (ConnectionError, asyncio.LimitOverrunError, ValueError):
            pass
        submission.closed = True
        writer.close()

    async def listen(self, reader, submission):
        """Counts further answers on the connection."""
        with suppress(ConnectionError, ValueError):
            while line := await reader.readline():
                submission.answers += line.endswith(b"\n")


def encode_submission(request, submission, is_retry):
    """Returns the line of a submission; a look-up has no idempotency key, so its run cannot be adopted."""
    text = f"/*{request.key}*/ {request.query_class} {request.key} {request.seconds:.3f} sales_17.orders"
    params = {
        "id": submission.txn,
        "wait": TIME_LIMIT_S * 1e3,
        "tenant": "acme",
        "need_mb": 4,
        "cost": request.seconds * 1e3,
        "bytes": b64encode(text.encode()).decode(),
    }
    params |= {"once": request.key} if request.query_class != "lookup" else {}
    params |= {"retry": "1"} if is_retry else {}
    return (
        json.dumps({"jsonrpc": "2.0", "id": 1, "method": request.query_class, "params": params}).encode()
        + b"\n"
    )


def take_answer(request, submission, answer):
    """Records the first answer to a submission."""
    submission.answered_at = asyncio.get_running_loop().time()
    if "result" in answer:
        rows = b64decode(answer["result"]["bytes"]).split(b"\n", 1)[0]
        submission.what, submission.result = "returned", rows.decode()
        request.over_at = request.over_at or submission.answered_at
    else:
        submission.what = "pushed back" if answer["error"]["code"] == -32001 else "errored"
