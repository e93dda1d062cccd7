#!/bin/sh
# Checks that every stand-in that the cases start can be used: they are Python, run by the deploy build's .venv.
here=$(cd "$(dirname "$0")" && pwd) && cd "$here/.." || exit 2
exec .venv/bin/python - <<'END'
from pathlib import Path

for source in sorted(Path("review").rglob("*.py")):
    compile(source.read_bytes(), str(source), "exec")
END
