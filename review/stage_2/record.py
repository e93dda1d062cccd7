"""The record of a case: one line for each thing that was sent, answered or run, and the verdict."""

from __future__ import annotations

import json
import os
import time
from pathlib import Path

BROKEN, HELD, NOT_RUN = 1, 0, 2


class Record:
    """Lines of `record.txt`, in the order in which things happened."""

    def __init__(self, folder: Path) -> None:
        """Begin an empty record in the folder of the case."""
        self.path, self.began, self.lines = folder / "record.txt", time.monotonic(), []
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.add("case", folder=folder.name, trouble=int(self.trouble))

    def now(self) -> float:
        """Return the seconds since the record began."""
        return round(time.monotonic() - self.began, 4)

    def add(self, what: str, **fields) -> dict:
        """Add a line; returns it with its time `at`."""
        line = {"at": self.now(), "what": what, **fields}
        self.lines.append(line)
        return line

    def all(self, what: str, **fields) -> list[dict]:
        """Return the lines of one kind that have these fields."""
        return [
            line
            for line in self.lines
            if line["what"] == what and all(line.get(name) == value for name, value in fields.items())
        ]

    def finish(self, broken: list[str]) -> int:
        """Write the record with the verdict; returns the exit code."""
        for text in broken:
            self.add("broken", why=text)
        self.add("verdict", broken=len(broken))
        self.save()
        print(f"{self.path.parent.name}: {len(broken)} breaks" + "".join(f"\n  {b}" for b in broken[:5]))
        return BROKEN if broken else HELD

    def save(self) -> None:
        """Write the lines."""
        self.path.write_text("".join(json.dumps(line) + "\n" for line in self.lines))
