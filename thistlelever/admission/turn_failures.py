"""Failures in one turn of the decisions: the step that fails ends alone, and the rest of the turn goes on."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from thistlelever.ground import interface as it


class TurnFailedError(Exception):
    """Steps of a turn have failed. The actions of the other steps are to be carried out all the same."""

    def __init__(self, actions: list[it.Action], failures: list[Exception]) -> None:
        """Take the turn's actions in their order, and what its steps have raised."""
        super().__init__(repr(failures))
        self.actions, self.failures = actions, failures


class TurnFailures:
    """What the steps of the present turn have raised."""

    def __init__(self) -> None:
        """Start without failures."""
        self.raised: list[Exception] = []

    def attempt(self, step: Callable[..., Any], *arguments: Any) -> bool:
        """Run a step; returns whether it ended without an exception, which is kept otherwise."""
        try:
            step(*arguments)
        except Exception as failure:
            self.raised.append(failure)
            return False
        return True

    def check(self, actions: list[it.Action]) -> None:
        """End the turn that has these actions; raises `TurnFailedError` if a step of it has failed."""
        raised, self.raised = self.raised, []
        if raised:
            raise TurnFailedError(actions, raised)
