"""`python -m thistlelever.wirehost`: the fronts on standard input and output."""

import sys

from thistlelever.wirehost.host import serve

sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
