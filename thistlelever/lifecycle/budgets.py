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
from thistlelever.lifecycle.components import FrontContext


def build_plan(section: Budgets) -> Plan:
    """The tree that a section describes; `ConfigError` with the path of what can't be kept."""

    def plan_node(node, children: str | None = None, grandchildren: str | None = None) -> PlanNode:
        child_nodes = getattr(node, children) if children else {}
        return PlanNode(
            Share(node.guarantee, node.ceiling, node.burst, node.weight),
            {name: plan_node(child, grandchildren) for name, child in child_nodes.items()},
        )

    try:
        brokers = {name: plan_node(node, "teams", "groups") for name, node in section.brokers.items()}
        return Plan(brokers, plan_node(section.other).share)
    except PlanError as error:
        raise ConfigError(f"operator file: budgets: {error}") from None


class BudgetsComponent:
    """The gate that batches pass before the decisions hear of them."""

    start_stage = "BudgetsSide"

    def __init__(self, context: FrontContext, section: Budgets) -> None:
        self.context, config = context, context.config
        self.gate = context.courses.gate = BudgetGate(
            config.settings,
            build_plan(section),
            self.queue_policy(section),
            section.threads_a_core,
            config.seed,
            context.batches,
            context.roll,
            context.metrics,
            context.log,
        )

    def queue_policy(self, section: Budgets) -> QueuePolicy:
        settings = self.context.config.settings
        longest_return = settings.longest_return if settings.names_return else 0.0
        return QueuePolicy(settings.cancel, section.waste, longest_return, section.depth)

    async def open(self) -> dict:
        return {}

    def reload(self, operator: Operator, config: Config) -> None:
        if section := operator.budgets:
            self.gate.reconfigure(build_plan(section), self.queue_policy(section), section.threads_a_core)

    def admin_handlers(self) -> dict[str, Callable[..., dict]]:
        return {
            "budgets.show": lambda: views.show(self.gate.fair_queue, clock.now()),
            "budgets.explain": self.explain,
        }

    def explain(self, batch: str) -> dict:
        """By the client's id of the batch, or the front's number of it."""
        open_batch = self.context.batches.by_txn.get(batch)
        number = open_batch.number if open_batch else int(batch) if batch.isdigit() and len(batch) < 16 else 0
        return views.explain(self.gate.fair_queue, number, clock.now())

    def begin_shutdown(self) -> None:
        """The courses tell the gate themselves."""

    async def close(self, grace: float) -> None:
        """Nothing of it outlives the batches."""
