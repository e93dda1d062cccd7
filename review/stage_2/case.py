"""The frame of a case: a temporary folder, a directory, engines and fronts, all ended at the end."""

from __future__ import annotations

import asyncio
import copy
import json
import sys
import tempfile
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from stage_2.engine import Engine, Marks
from stage_2.fronts import Client, Front, free_ports
from stage_2.record import NOT_RUN, Record
from thistlelever.standins.configuration import SETTINGS, configuration
from thistlelever.standins.directory import start_directory

# The longest that a case may take, in seconds.
LIMIT_S = 110


class Stage:
    """All that one case starts."""

    def __init__(self, folder: Path, temporary: Path) -> None:
        """Begin with nothing but the record."""
        self.record, self.temporary = Record(folder), temporary
        self.engines: dict[str, Engine] = {}
        self.fronts: list[Front] = []
        self.clients: list[Client] = []
        self.directory = None
        self.settings = copy.deepcopy(SETTINGS)
        self.counter = 0

    @property
    def trouble(self) -> bool:
        """Whether the disruption is to be made."""
        return self.record.trouble

    def new_id(self, digits: int = 16) -> str:
        """Return an id of so many hex digits that was not used before."""
        self.counter += 1
        return f"{0x9E3779B97F4A7C15F39CC0605CEDC835 * (self.counter + 1) % (1 << digits * 4):0{digits}x}"

    async def open_engines(self, names: list[str], marks: Marks, duration) -> None:
        """Start engines and the directory that lists them."""
        for name in names:
            self.engines[name] = Engine(name, self.record, marks, duration)
            await self.engines[name].start()
        self.directory, self.known = await start_directory(asyncio.Event(), self.engines)

    def front(self, name: str, operator: dict | None = None, **fields) -> Front:
        """Make a front, not started yet; `fields` replace those of its configuration."""
        config = configuration(self.known, f"127.0.0.1:{self.directory.port}", self.settings)
        config |= {"name": name, "listen": f"127.0.0.1:{free_ports(1)[0]}", **fields}
        folder = Path(tempfile.mkdtemp(dir=self.temporary))
        self.fronts.append(Front(name, folder, self.record, config, operator))
        return self.fronts[-1]

    async def client(self, name: str, front: Front) -> Client:
        """Connect a client to a front."""
        self.clients.append(await Client(name, self.record).open(front))
        return self.clients[-1]

    async def close(self) -> None:
        """End all that was started."""
        for client in self.clients:
            await client.close()
        await asyncio.gather(*(front.end() for front in self.fronts))
        for engine in self.engines.values():
            await engine.stop()
        if self.directory:
            self.directory.transport.close()


def play(file: str, run: Callable[[Stage], Awaitable[list[str]]]) -> None:
    """Play a case and exit: `run` returns the breaks that it found."""

    async def main() -> int:
        folder = Path(file).resolve().parent
        with tempfile.TemporaryDirectory() as temporary:
            stage = Stage(folder, Path(temporary))
            try:
                async with asyncio.timeout(LIMIT_S):
                    return stage.record.finish(await run(stage))
            except Exception as why:
                # Whatever stops the case says nothing of the rule.
                traceback.print_exc()
                stage.record.add("could not run", why=repr(why))
                stage.record.save()
                return NOT_RUN
            finally:
                await stage.close()
                if "--logs" in sys.argv:
                    for front in stage.fronts:
                        for event in front.events:
                            print(front.name, json.dumps(event), file=sys.stderr)

    sys.exit(asyncio.run(main()))
