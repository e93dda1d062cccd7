"""The component of the operator file's section `budgets`. Imported only where the section is present."""

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
    """The budget tree of a section. Raises `ConfigError` with the path of a node that is invalid."""

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
    """Owns the gate where batches queue before the admission decisions see them."""

    start_stage = "BudgetsSide"

    def __init__(self, context: FrontContext, section: Budgets) -> None:
        """Install the gate. Raises `ConfigError` where the budget tree is invalid."""
        self.context, config = context, context.config
        self.gate = context.batch_tasks.gate = BudgetGate(
            config.settings,
            build_plan(section),
            self.queue_policy(section),
            section.threads_a_core,
            config.seed,
            context.batches,
            context.registry,
            context.metrics,
            context.log,
        )

    def queue_policy(self, section: Budgets) -> QueuePolicy:
        """The section's limits together with those of the settings."""
        settings = self.context.config.settings
        longest_return = settings.longest_return if settings.names_return else 0.0
        return QueuePolicy(settings.cancel, section.waste, longest_return, section.depth)

    async def open(self) -> dict:
        """Nothing to start: the gate works from its construction on."""
        return {}

    def reload(self, operator: Operator, config: Config) -> None:
        """Apply a new tree and new limits."""
        if section := operator.budgets:
            self.gate.reconfigure(build_plan(section), self.queue_policy(section), section.threads_a_core)

    def admin_handlers(self) -> dict[str, Callable[..., dict]]:
        """The state of the whole tree, and of one batch."""
        return {
            "budgets.show": lambda: views.show(self.gate.fair_queue, clock.now()),
            "budgets.explain": self.explain,
        }

    def explain(self, batch: str) -> dict:
        """Why a batch waits. `batch` is the client's id of it, or the number that this front gave it."""
        open_batch = self.context.batches.by_txn.get(batch)
        number = open_batch.number if open_batch else int(batch) if batch.isdigit() and len(batch) < 16 else 0
        return views.explain(self.gate.fair_queue, number, clock.now())

    def begin_shutdown(self) -> None:
        """Nothing to do: stopping the batches' tasks shuts the gate down."""

    async def close(self, grace: float) -> None:
        """Nothing to stop: the gate holds no resources besides its batches."""
