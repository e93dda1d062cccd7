"""The batches of the rig `flight` from their clients' side, and the correct result of each."""

from rigs.flight_terms import (
    DETACHED_SHARE,
    INTERFACES,
    QUERY_CLASSES,
    DEADLINE_MS,
    LONG_RESULT_SHARE,
    BEHAVIOURS,
    LONG_RESULT_ROWS,
)


class ClientBatch:
    """One batch from its client's side: drawn from the seed and its index, or the retry of another."""

    def __init__(self, chance, index, retry_of=None, long_result_share=LONG_RESULT_SHARE):
        self.index, self.retry_of = index, retry_of
        self.interface = chance.among(INTERFACES, "door", index)
        if retry_of:
            self.interface = "flight" if retry_of.interface == "rpc" else "rpc"
        self.query_class = retry_of.query_class if retry_of else chance.among(QUERY_CLASSES, "group", index)
        self.behaviour = "usual" if retry_of else chance.among(BEHAVIOURS[self.interface], "manner", index)
        if self.query_class == "load":
            self.table = f"ledger_{chance.below(12, 'table', index)}.entries"
        else:
            self.table = f"sales_{chance.below(60, 'table', index)}.orders"
        self.table = retry_of.table if retry_of else self.table
        self.key = retry_of.key if retry_of else chance.seed.to_bytes(8, "big").hex() + f"{index:016x}"
        is_long = chance.share("long", index) < long_result_share
        self.rows = LONG_RESULT_ROWS if is_long else 1 + chance.below(30, "rows", index)
        self.rows = retry_of.rows if retry_of else self.rows
        self.answer_count, self.outcome = 0, ""
        # The id that the batch has over JSON-RPC.
        self.rpc_id = chance.seed.to_bytes(4, "big").hex() + f"{index:08x}"
        self.is_detached = self.may_be_detached() and chance.share("detached", index) < DETACHED_SHARE

    def may_be_detached(self):
        """Whether its client waits for a second dispatch, and its id is known before it is sent."""
        return self.interface == "rpc" and self.query_class == "lookup" and self.behaviour == "usual"

    def statement(self):
        """The statement, which names the number of rows, the table and the idempotency key."""
        return f"select n{self.rows} from {self.table} -- {self.key}"

    def headers(self):
        """The metadata of a Flight SQL call."""
        headers = [
            ("x-group", self.query_class),
            ("x-cost-ms", "10"),
            ("x-need-mb", "8"),
            ("x-wait-ms", str(DEADLINE_MS)),
        ]
        if self.query_class == "load":
            headers.append(("x-once", self.key))
        return tuple(headers)


def result(engine, run_count, statement):
    """The rows of a result as text: each names its batch, its index and the engine's run."""
    text = statement.decode()
    count, key = int(text.split()[1][1:]), text.rpartition(" ")[2]
    run_count[0] += 1
    return "".join(f"{key}\t{row}\t{engine}.{run_count[0]}\n" for row in range(count))


def is_correct(batch, rows):
    """Whether rows are the complete result of exactly one run of this batch."""
    runs_seen = {row[2] for row in rows}
    return (
        len(runs_seen) == 1
        and [row[1] for row in rows] == [str(n) for n in range(batch.rows)]
        and {row[0] for row in rows} == {batch.key}
    )
