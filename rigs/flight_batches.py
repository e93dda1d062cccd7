"""The batches of the Flight rig as their clients know them, and what a right result of one is."""

from rigs.flight_terms import DOORS, GROUPS, LIMIT_MS, LONG_SHARE, MANNERS, ROWS_LONG


class Asked:
    """One batch as its client knows it."""

    def __init__(self, chance, place, retry_of=None, long_share=LONG_SHARE):
        self.place, self.of = place, retry_of
        self.door = chance.among(DOORS, "door", place)
        if retry_of:
            self.door = "flight" if retry_of.door == "rpc" else "rpc"
        self.group = retry_of.group if retry_of else chance.among(GROUPS, "group", place)
        self.manner = "usual" if retry_of else chance.among(MANNERS[self.door], "manner", place)
        if self.group == "load":
            self.table = f"ledger_{chance.below(12, 'table', place)}.entries"
        else:
            self.table = f"sales_{chance.below(60, 'table', place)}.orders"
        self.table = retry_of.table if retry_of else self.table
        self.mark = retry_of.mark if retry_of else chance.seed.to_bytes(8, "big").hex() + f"{place:016x}"
        long = chance.share("long", place) < long_share
        self.rows = ROWS_LONG if long else 1 + chance.below(30, "rows", place)
        self.rows = retry_of.rows if retry_of else self.rows
        self.answers, self.what = 0, ""

    def statement(self):
        return f"select n{self.rows} from {self.table} -- {self.mark}"

    def headers(self):
        said = [
            ("x-group", self.group),
            ("x-cost-ms", "10"),
            ("x-need-mb", "8"),
            ("x-wait-ms", str(LIMIT_MS)),
        ]
        if self.group == "load":
            said.append(("x-once", self.mark))
        return tuple(said)


def result(engine, runs, statement):
    """Rows that tell whose they are: the batch, their place, and the one run that made them."""
    text = statement.decode()
    count, mark = int(text.split()[1][1:]), text.rpartition(" ")[2]
    runs[0] += 1
    return "".join(f"{mark}\t{row}\t{engine}.{runs[0]}\n" for row in range(count))


def right(asked, rows):
    """Whether it is the whole result of one run of the batch, and of nothing else."""
    made = {row[2] for row in rows}
    return (
        len(made) == 1
        and [row[1] for row in rows] == [str(n) for n in range(asked.rows)]
        and {row[0] for row in rows} == {asked.mark}
    )
