#!/bin/sh
# Builds what the scripts of the second review start, after `build` of deploy/balancer.toml: the stand-ins (Python, run
# by the same environment) and the project's own extras that the operator files of the cases switch on, in the
# versions that requirements-all.txt pins. Needs the package mirrors only where an extra is not installed yet.
cd "$(dirname "$0")/.." || exit 2
python=.venv/bin/python
if ! $python -c "import apsw, msgspec, xxhash" 2>/dev/null; then
    grep -E '^(apsw|msgspec|xxhash)==' requirements-all.txt | xargs .venv/bin/pip -q install || exit 2
fi
$python -m compileall -q thistlelever review/stage_2 review/6 review/7 review/8 review/9 review/10 || exit 2
PYTHONPATH=.:review $python -c "import stage_2.case" || exit 2
