#!/bin/sh
# Plays the case beside it. Exit code 1: the rule was broken; 0: it held; 2: the case could not run.
folder=$(cd "$(dirname "$0")" && pwd) && cd "$folder/../.." || exit 2
export PYTHONPATH=.:review
.venv/bin/python -c "import stage_2.case" || exit 2
exec .venv/bin/python "$folder/case.py" "$@"
