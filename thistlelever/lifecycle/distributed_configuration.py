"""Sections of the operator file that distributors publish, which replace those of the front's own file."""

from __future__ import annotations

import msgspec

from thistlelever.distribution.records import DOCUMENT_PREFIX, DocumentRecord
from thistlelever.distribution.replica import Replica
from thistlelever.distribution.versions import NO_VERSION, Version
from thistlelever.ground import operator as operator_file
from thistlelever.ground.settings import ConfigError
from thistlelever.ground.operator import Operator
from thistlelever.lifecycle.budgets import build_plan

# The name of the document with sections of the operator file, and the sections that it may have: those whose
# keys are all or mostly reloadable without a restart.
OPERATOR_DOCUMENT = "operator"
SECTIONS = frozenset({"budgets", "flight"})


def read_document(text: str) -> dict[str, msgspec.Struct]:
    """The sections of the document by name. Raises `ConfigError` with the path of an invalid key."""
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
    """Raise `ValueError` for a document that no front could use. Distributors call it before they publish."""
    try:
        read_document(text)
    except ConfigError as error:
        raise ValueError(str(error)) from None


class DistributedConfiguration:
    """The document in the front's replica, and the one in force: an older one where the newest is invalid."""

    def __init__(self, replica: Replica) -> None:
        """Nothing is in force before `overlay`."""
        self.replica = replica
        self.in_force: DocumentRecord | None = None
        self.in_force_since, self.refused = NO_VERSION, ""
        self.last_document: DocumentRecord | None = None

    def current_document(self) -> DocumentRecord | None:
        """The document of the replica, or None."""
        document = self.replica.records.get(DOCUMENT_PREFIX + OPERATOR_DOCUMENT)
        return document if isinstance(document, DocumentRecord) else None

    def has_changed(self) -> bool:
        """Whether the document differs from the one that `overlay` read last."""
        return self.current_document() != self.last_document

    def overlay(self, local: Operator) -> Operator:
        """The operator file with the document's sections in place of its own.

        Raises `ConfigError` where the document is invalid for this front; the one in force then stays so.
        """
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
        """For the admin socket: since which version the document is in force, and why a newer one is not."""
        since: Version | None = self.in_force_since if self.in_force else None
        return {"in_force_since": str(since) if since else None, "refused": self.refused}
