"""The rig of lost publishers, small, as CI plays it."""

import json
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parents[1]


def test_a_killed_and_a_stopped_publisher_are_replaced():
    words = ["-m", "rigs.publisher_loss", "--seed", "2", "--distributors", "5", "--losses", "2"]
    said = subprocess.run(
        [sys.executable, *words], cwd=ROOT, capture_output=True, text=True, timeout=180, check=False
    )
    assert said.stdout, said.stderr[-2000:]
    last = json.loads(said.stdout.splitlines()[-1])
    assert last["holds"] and said.returncode == 0, last
    assert {loss["kind"] for loss in last["losses"]} == {"killed", "stopped"}
