"""A front without an operator file loads no TLS library."""

import asyncio
import json
from pathlib import Path

import pytest
from stage import front_process, ready_line

from thistlelever.ground.without_tls import AbsentTls
from thistlelever.standins.configuration import configuration


def test_a_front_that_serves_has_no_tls_library_in_its_memory(tmp_path):
    async def whole() -> str:
        path = tmp_path / "config.json"
        path.write_text(json.dumps(configuration()))
        process = await front_process({"BALANCER_CONFIG": str(path)})
        try:
            await ready_line(process)
            return Path(f"/proc/{process.pid}/maps").read_text()
        finally:
            process.kill()
            await process.wait()

    maps = asyncio.run(whole())
    assert "orjson" in maps
    assert "libcrypto" not in maps


def test_a_use_of_the_absent_library_fails():
    absent = AbsentTls("ssl")
    assert issubclass(absent.SSLWantReadError, Exception)
    with pytest.raises(AttributeError):
        absent.create_default_context().wrap_socket(None)
