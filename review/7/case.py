"""Some pages state a length that is too small, and their last rows come later: are they served whole?"""

import asyncio
import random
from base64 import b64decode

from stage_2.case import Stage, play
from stage_2.engine import Marks

BATCHES, RATE = 1500, 80.0
# The share of the answers that are spoilt, and after how many seconds the rest of such an answer follows.
SPOILT_SHARE, REST_AFTER_S = 0.05, 0.005
RUN_S, PAGES, ROWS_A_PAGE, WAIT_MS = 0.05, 2, 6, 4000


def page_of(txn: str, number: int) -> str:
    """Return the rows of one page of a query: they name it."""
    return "".join(f"{txn}\t{number}\t{row}\n" for row in range(ROWS_A_PAGE))


async def run(stage: Stage) -> list[str]:
    """Play the case."""
    chance = random.Random(11)
    spoilt: set[tuple[str, str]] = set()
    await stage.open_engines(["s-alba", "s-bruma", "s-cala"], Marks(25.0), lambda statement: RUN_S)

    def cut(path: str, text: str) -> int:
        """Return how many bytes of a body its head states: all, or too few; each page is spoilt once."""
        if not stage.trouble or not text or (path, text) in spoilt or chance.random() >= SPOILT_SHARE:
            return len(text)
        spoilt.add((path, text))
        stage.record.add("spoilt", path=path)
        return text.rindex("\n", 0, -1) + 1

    for engine in stage.engines.values():
        engine.pages, engine.page_of = PAGES, page_of
        engine.stated_length, engine.rest_after = cut, REST_AFTER_S
    front = stage.front("n0")
    await front.start()
    clients = [await stage.client(f"c{number}", front) for number in range(8)]
    futures, broken = [], []
    for number in range(BATCHES):
        text = f"select a, b, c from customs_{number % 40}.declarations"
        fields = {"tenant": "acme", "cost": RUN_S * 1000}
        futures.append(clients[number % 8].submit("lookup", stage.new_id(), text, WAIT_MS, **fields))
        await asyncio.sleep(chance.expovariate(RATE))
    await asyncio.wait(futures, timeout=WAIT_MS / 1000 + 1)
    for client in clients:
        for txn, body in client.results.items():
            rows = b64decode(body).decode()
            whole = "".join(page_of(txn, page) for page in range(PAGES))
            if rows != whole:
                stage.record.add("wrong result", txn=txn, rows=rows)
                lost = whole.count("\n") - rows.count("\n")
                broken.append(f"{txn} was served without {lost} of its {whole.count(chr(10))} rows")
    return broken


if __name__ == "__main__":
    play(__file__, run)
