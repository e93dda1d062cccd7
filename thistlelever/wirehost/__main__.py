"""`python -m thistlelever.wirehost`: runs fronts on standard input and output."""

import sys

from thistlelever.wirehost.host import serve

sys.exit(serve(sys.stdin.buffer, sys.stdout.buffer, sys.stderr))
