"""Puts together what the operator's section `budgets` switches on. Imported only where it is there."""

from __future__ import annotations

from collections.abc import Callable

from thistlelever.budgets import views
from thistlelever.budgets.plan import Plan, PlanError, PlanNode, Share
from thistlelever.budgets.queued_batch import QueuePolicy
from thistlelever.carrier.budget_gate import BudgetGate
from thistlelever.ground import clock
from thistlelever.ground.config import Config
from thistlelever.ground.operator import Budgets, Operator
from thistlelever.ground.settings import ConfigError
from thistlelever.lifecycle.parts import Parts


def plan(section: Budgets) -> Plan:
    """The tree that a section describes; `ConfigError` with the path of what can't be kept."""

    def plan_node(node, children: str | None = None, grandchildren: str | None = None) -> PlanNode:
        inner = getattr(node, children) if children else {}
        return PlanNode(
            Share(node.guarantee, node.ceiling, node.burst, node.weight),
            {name: plan_node(child, grandchildren) for name, child in inner.items()},
        )

    try:
        brokers = {name: plan_node(node, "teams", "groups") for name, node in section.brokers.items()}
        return Plan(brokers, plan_node(section.other).share)
    except PlanError as why:
        raise ConfigError(f"operator file: budgets: {why}") from None


class BudgetsSide:
    """The gate that batches pass before the decisions hear of them."""

    def __init__(self, parts: Parts, section: Budgets) -> None:
        self.parts, config = parts, parts.config
        self.gate = parts.batch_tasks.gate = BudgetGate(
            config.settings,
            plan(section),
            self.policy(section),
            section.threads_a_core,
            config.seed,
            parts.batches,
            parts.roll,
            parts.metrics,
            parts.log,
        )

    def policy(self, section: Budgets) -> QueuePolicy:
        settings = self.parts.config.settings
        longest = settings.longest_return if settings.names_return else 0.0
        return QueuePolicy(settings.cancel, section.waste, longest, section.depth)

    async def open(self) -> dict:
        return {}

    def renew(self, operator: Operator, config: Config) -> None:
        if section := operator.budgets:
            self.gate.reconfigure(plan(section), self.policy(section), section.threads_a_core)

    def questions(self) -> dict[str, Callable[..., dict]]:
        return {
            "budgets.show": lambda: views.show(self.gate.fair_queue, clock.now()),
            "budgets.explain": self.explained,
        }

    def explained(self, batch: str) -> dict:
        """By the client's id of the batch, or the front's number of it."""
        found = self.parts.batches.by_txn.get(batch)
        number = found.number if found else int(batch) if batch.isdigit() and len(batch) < 16 else 0
        return views.explain(self.gate.fair_queue, number, clock.now())

    def stopping(self) -> None:
        """The batch tasks tell the gate themselves."""

    async def close(self, grace: float) -> None:
        """Nothing of it outlives the batches."""
