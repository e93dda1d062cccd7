"""Sections of the operator file that come from distributors, in place of those of the file."""

from __future__ import annotations

import msgspec

from thistlelever.distribution.records import DOCUMENT_PREFIX, DocumentRecord
from thistlelever.distribution.replica import Replica
from thistlelever.distribution.versions import NO_VERSION, Version
from thistlelever.ground import operator as operator_file
from thistlelever.ground.settings import ConfigError
from thistlelever.ground.operator import Operator
from thistlelever.lifecycle.budgets import plan

# The document that holds sections of the operator file, and the sections that it may hold: those of which
# all or most takes effect without a restart.
OPERATOR_DOCUMENT = "operator"
SECTIONS = frozenset({"budgets", "flight"})


def read_document(text: str) -> dict[str, msgspec.Struct]:
    """The sections that the document holds; `ConfigError`, a `ValueError`, with the path of what can't be."""
    told = operator_file.read(text.encode())
    held = {name: getattr(told, name) for name in told.__struct_fields__ if getattr(told, name) is not None}
    if unknown := sorted(held.keys() - SECTIONS):
        raise ConfigError(f"{unknown[0]}: one of {', '.join(sorted(SECTIONS))} expected")
    if "budgets" in held:
        plan(held["budgets"])
    return held


def check_document(text: str) -> None:
    """Raise `ValueError` for a document that no front could use."""
    try:
        read_document(text)
    except ConfigError as error:
        raise ValueError(str(error)) from None


class DistributedConfiguration:
    """The document as the replica holds it, and the version of it that is in force at this front."""

    def __init__(self, replica: Replica) -> None:
        """Nothing is in force before `overlay`."""
        self.replica = replica
        self.in_force: DocumentRecord | None = None
        self.in_force_since, self.refused = NO_VERSION, ""
        self.seen: DocumentRecord | None = None

    def held(self) -> DocumentRecord | None:
        """The document, where there is one."""
        found = self.replica.records.get(DOCUMENT_PREFIX + OPERATOR_DOCUMENT)
        return found if isinstance(found, DocumentRecord) else None

    def differs(self) -> bool:
        """Whether the document is another one than the last that was looked at."""
        return self.held() != self.seen

    def overlay(self, local: Operator) -> Operator:
        """The operator file with the document's sections in place of its own. `ConfigError` where the
        document can't be used here: what is in force stays."""
        self.seen = found = self.held()
        try:
            sections = read_document(found.content) if found else {}
        except ConfigError as error:
            self.refused = f"{self.replica.version}: {error}"
            raise
        if found != self.in_force:
            self.in_force_since = self.replica.version
        self.in_force, self.refused = found, ""
        return msgspec.structs.replace(local, **sections)

    def show(self) -> dict:
        """Since which version the document is in force, and why a newer one is not."""
        since: Version | None = self.in_force_since if self.in_force else None
        return {"in_force_since": str(since) if since else None, "refused": self.refused}
