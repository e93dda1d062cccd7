"""Runs a front in a separate process, with fake engines and a fake directory here, for measurements."""

import asyncio
import json
import os
import sys
import tempfile
from contextlib import asynccontextmanager
from pathlib import Path

from thistlelever.standins.directory import start_directory
from thistlelever.standins.configuration import configuration

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
ROOT = Path(__file__).parents[1]


class Front:
    """A running front: its addresses and its resource usage."""

    def __init__(self, process, ready):
        self.process, self.listen, self.flight = process, ready["listen"], ready.get("flight")

    def cpu(self):
        """Returns the CPU time used so far, user and system, in seconds."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND

    def memory_mb(self, measure="VmRSS"):
        """Returns the resident memory in MiB, or with VmHWM its highest value so far."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.partition(f"{measure}:")[2].split()[0]) / 1024


@asynccontextmanager
async def front(engines, settings, operator=None, limits=None):
    """Starts a front that knows the given engines (name -> fake engine) and yields it as a `Front`.

    `operator` is the content of an operator file, `limits` replaces that section of the
    configuration. On exit the front gets SIGTERM and the engines are stopped.
    Raises TimeoutError when the front is not ready within 20 s.
    """
    directory, known = await start_directory(asyncio.Event(), engines)
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "config.json"
        content = configuration(known, f"127.0.0.1:{directory.port}", settings)
        content["limits"] = limits or content["limits"]
        config.write_text(json.dumps(content))
        command = [sys.executable, "-OO", "-m", "thistlelever", "serve"]
        if operator:
            extra = Path(folder) / "operator.json"
            extra.write_text(json.dumps(operator))
            command += ["--operator", str(extra)]
        process = await asyncio.create_subprocess_exec(
            *command,
            cwd=ROOT,
            env=os.environ | {"BALANCER_CONFIG": str(config)},
            stdout=asyncio.subprocess.PIPE,
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
