"""Keeps TLS out of a process that opens no TLS connection.

asyncio and Tornado import `ssl` whether or not it is used. With OpenSSL it takes some 4 MB, an eighth of the
least memory that a front may be given.
"""

import sys
from types import ModuleType


class AbsentTls(ModuleType):
    """Stands in for the module `ssl`: importers can refer to its names, and any use of them fails."""

    def __getattr__(self, name: str) -> type[Exception]:
        """Return an exception class of that name."""
        if name.startswith("__"):
            raise AttributeError(name)
        absent = type(name, (Exception,), {})
        setattr(self, name, absent)
        return absent


def leave_out_tls() -> None:
    """Replace `ssl` for all that is imported from now on, unless it has been imported before."""
    sys.modules.setdefault("ssl", AbsentTls("ssl"))
