"""A front in a process of its own, as it is served, among stand-ins in this one: for what is measured of
it."""

import asyncio
import json
import os
import sys
import tempfile
from contextlib import asynccontextmanager
from pathlib import Path

from thistlelever.standins.directory import start_directory
from thistlelever.standins.configuration import configuration

TICKS = os.sysconf("SC_CLK_TCK")
ROOT = Path(__file__).parents[1]


class Front:
    """The front's process, and what it takes of the machine."""

    def __init__(self, process, ready):
        self.process, self.listen, self.flight = process, ready["listen"], ready.get("flight")

    def cpu(self):
        """Seconds of CPU so far."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS

    def memory_mb(self):
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.partition("VmRSS:")[2].split()[0]) / 1024


@asynccontextmanager
async def front(engines, settings, operator=None):
    """A front that knows these engines, by name; ended by SIGTERM."""
    directory, known = await start_directory(asyncio.Event(), engines)
    with tempfile.TemporaryDirectory() as folder:
        told = Path(folder) / "config.json"
        told.write_text(json.dumps(configuration(known, f"127.0.0.1:{directory.port}", settings)))
        words = [sys.executable, "-O", "-m", "thistlelever", "serve"]
        if operator:
            extra = Path(folder) / "operator.json"
            extra.write_text(json.dumps(operator))
            words += ["--operator", str(extra)]
        process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=os.environ | {"BALANCER_CONFIG": str(told)}, stdout=asyncio.subprocess.PIPE
        )
        try:
            async with asyncio.timeout(20):
                while (line := json.loads(await process.stdout.readline()))["event"] != "ready":
                    pass
            drain = asyncio.create_task(process.stdout.read())
            yield Front(process, line)
        finally:
            if process.returncode is None:
                process.terminate()
            await process.wait()
            drain.cancel()
            directory.transport.close()
            for engine in engines.values():
                await engine.stop()
