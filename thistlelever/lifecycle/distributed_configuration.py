"""Sections of the operator file that come from distributors, in place of those of the file."""

from __future__ import annotations

import msgspec

from thistlelever.distribution.records import DOCUMENT_PREFIX, DocumentRecord
from thistlelever.distribution.replica import Replica
from thistlelever.distribution.versions import NO_VERSION, Version
from thistlelever.ground import operator as operator_file
from thistlelever.ground.settings import ConfigError
from thistlelever.ground.operator import Operator
from thistlelever.lifecycle.budgets import build_plan

# The document that holds sections of the operator file, and the sections that it may hold: those of which
# all or most takes effect without a restart.
OPERATOR_DOCUMENT = "operator"
SECTIONS = frozenset({"budgets", "flight"})


def read_document(text: str) -> dict[str, msgspec.Struct]:
    """The sections that the document holds; `ConfigError`, a `ValueError`, with the path of what can't be."""
    operator = operator_file.read(text.encode())
    sections = {
        name: getattr(operator, name)
        for name in operator.__struct_fields__
        if getattr(operator, name) is not None
    }
    if unknown := sorted(sections.keys() - SECTIONS):
        raise ConfigError(f"{unknown[0]}: one of {', '.join(sorted(SECTIONS))} expected")
    if "budgets" in sections:
        build_plan(sections["budgets"])
    return sections


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
        self.last_document: DocumentRecord | None = None

    def current_document(self) -> DocumentRecord | None:
        """The document, where there is one."""
        document = self.replica.records.get(DOCUMENT_PREFIX + OPERATOR_DOCUMENT)
        return document if isinstance(document, DocumentRecord) else None

    def has_changed(self) -> bool:
        """Whether the document is another one than the last that was looked at."""
        return self.current_document() != self.last_document

    def overlay(self, local: Operator) -> Operator:
        """The operator file with the document's sections in place of its own. `ConfigError` where the
        document can't be used here: what is in force stays."""
        self.last_document = document = self.current_document()
        try:
            sections = read_document(document.content) if document else {}
        except ConfigError as error:
            self.refused = f"{self.replica.version}: {error}"
            raise
        if document != self.in_force:
            self.in_force_since = self.replica.version
        self.in_force, self.refused = document, ""
        return msgspec.structs.replace(local, **sections)

    def show(self) -> dict:
        """Since which version the document is in force, and why a newer one is not."""
        since: Version | None = self.in_force_since if self.in_force else None
        return {"in_force_since": str(since) if since else None, "refused": self.refused}
