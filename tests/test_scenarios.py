"""Runs every file in `scenarios/`: those in `sockets/` against a whole front with fakes for all that it talks
to, the others against the decision code alone. `docs/scenarios.md` describes the notation."""

import asyncio
from pathlib import Path

import pytest
from stage import run_steps

from thistlelever.ground import interface as it
from thistlelever.admission.decide import Front

DECISION_FILES = sorted(Path(__file__).with_name("scenarios").glob("*.txt"))
SOCKET_FILES = sorted(Path(__file__).with_name("scenarios").glob("*/*.txt"))
QUERY_CLASS = it.QueryClass(
    "g",
    1.0,
    0.0,
    1.0,
    2.0,
    5.0,
    it.Idempotency.IDEMPOTENT,
    it.DeduplicationScope.ALL,
    0.0,
    1,
    False,
    False,
    False,
    None,
    None,
)
SETTINGS = it.Settings(
    2,
    0,
    (),
    (),
    1.0,
    (4, 4),
    (8000.0, 8000.0),
    0.5,
    False,
    False,
    it.MemoryShortage.QUEUE,
    0.0,
    False,
    it.ReportDelivery.WITH_ANSWERS,
    ("util",),
    False,
    False,
    0.0,
    0.005,
    False,
    0.0,
    0.0,
    False,
    False,
    True,
    1.0,
    3,
    0.25,
    1.0,
    0.3,
    10.0,
    3.0,
    1.0,
    0.3,
    None,
)
ENUMS = {
    "repeat": it.Idempotency,
    "scope": it.DeduplicationScope,
    "shortage": it.MemoryShortage,
    "reports": it.ReportDelivery,
}
ACTION_NAMES = {
    it.Dispatch: "dispatch",
    it.PushBack: "pushback",
    it.Error: "error",
    it.Cancel: "cancel",
    it.Terms: "terms",
    it.Probe: "probe",
    it.Timer: "timer",
    it.AskList: "asklist",
    it.FollowList: "followlist",
}


def parse_value(name, word):
    """Convert the value of an option to the type that the field `name` of the decision types has."""
    if name in ENUMS:
        word = word.replace("_", " ")
        return ENUMS[name](word)
    if name in ("zones", "kinds"):
        return frozenset(map(int, word.split("+")))
    if name in ("kind_cores", "kind_memory"):
        return tuple(map(int, word.split("+")))
    if name == "report_fields":
        return tuple(word.split("+")) if word != "none" else ()
    if name == "allowance":
        return it.RetryBudget(*map(float, word.split("+")))
    if word in ("yes", "no"):
        return word == "yes"
    return float(word) if "." in word else int(word)


def parse_options(words):
    """Convert words of the form `name=value` to a dict of field values."""
    return {name: parse_value(name, word) for name, word in (w.split("=") for w in words)}


class DecisionScenario:
    """One scenario run against the decision code, without I/O and with a simulated clock.

    Each `do_` method is a step of the notation. `actions` holds what the front decided since the last `at`.
    """

    def __init__(self):
        self.settings, self.query_classes, self.front, self.now, self.actions = SETTINGS, {}, None, 0.0, []
        self.engines = {}

    def handle(self, *events):
        """Pass events to the front and record its actions. The first call creates the front."""
        if self.front is None:
            settings = self.settings._replace(tariffs=tuple(self.query_classes.values()))
            self.front = Front(settings, 7)
            initial_list = it.EngineListReceived(it.ListKind.CACHED, 1, tuple(self.engines.values()))
            events = (initial_list, *events)
        for action in self.front.handle(self.now, list(events)):
            rest = [x.decode() if isinstance(x, bytes) else str(x) for x in action]
            self.actions.append(" ".join([ACTION_NAMES.get(type(action), "other"), *rest]))

    def run_step(self, verb, *words):
        """Run the step `verb` with its arguments."""
        getattr(self, "do_" + verb)(*words)

    def do_front(self, *words):
        """Change settings of the front; only before its first event."""
        self.settings = self.settings._replace(**parse_options(words))

    def do_group(self, name, *words):
        """Add a query class, with the default values except for the given ones."""
        self.query_classes[name] = QUERY_CLASS._replace(name=name, **parse_options(words))

    def do_engine(self, name, *words):
        """Add or change an engine; once the front runs, send it the change."""
        old = self.engines.get(name, it.Engine(name.encode(), 0, 0, 0, it.EngineState.READY, 0.0, 1.0))
        changes = parse_options(w for w in words if "standing" not in w)
        for word in words:
            if word.startswith("standing="):
                changes["state"] = it.EngineState[word[9:].upper()]
        self.engines[name] = old._replace(**changes)
        if self.front:
            self.handle(it.EngineListReceived(it.ListKind.CHANGES, 2, (self.engines[name],)))

    def do_list(self, kind, *names):
        """Send an engine list of that kind with the named engines."""
        self.handle(
            it.EngineListReceived(it.ListKind[kind.upper()], 3, tuple(self.engines[n] for n in names))
        )

    def do_at(self, when):
        """Set the clock and forget the actions recorded so far."""
        self.now, self.actions = float(when), []
        self.draws = self.front.draws if self.front else 0

    def do_wake(self):
        """Fire the front's timer."""
        self.handle(it.TimerDue(0))

    def do_take(self, batch, group, *words):
        """Submit a batch, or a range of batches `FIRST-END` without the last."""
        options = parse_options(words)
        class_index = list(self.query_classes).index(group)
        limit = options.get("limit", self.query_classes[group].time_limit)
        for number in batch.split("-")[:1] if "-" not in batch else range(*map(int, batch.split("-"))):
            self.handle(
                it.BatchReceived(
                    int(number),
                    class_index,
                    options.get("owner", 0),
                    options.get("key", 0),
                    limit,
                    options.get("work"),
                    options.get("memory", 0.0),
                    options.get("tables", 1.0),
                    False,
                )
            )

    def do_end(self, dispatch, engine, outcome, *words):
        """End a dispatch `BATCH/NUMBER` with that outcome."""
        options, (batch, number) = (
            parse_options(w for w in words if "report" not in w),
            map(int, dispatch.split("/")),
        )
        report = tuple(float(x) for w in words if w.startswith("report=") for x in w[7:].split("+"))
        outcome = it.DispatchOutcome[outcome.upper()]
        self.handle(
            it.DispatchEnded(
                batch,
                number,
                engine.encode(),
                outcome,
                options.get("took", 0.1),
                options.get("complete", outcome is it.DispatchOutcome.RETURNED),
                options.get("work", 0.0),
                options.get("memory", 0.0),
                report,
            )
        )

    def do_note(self, dispatch, engine, kind, amount):
        """Report progress of a dispatch."""
        batch, number = map(int, dispatch.split("/"))
        self.handle(
            it.ProgressNote(batch, number, engine.encode(), it.ProgressKind[kind.upper()], float(amount))
        )

    def do_probed(self, engine, outcome, *report):
        """End a probe of an engine."""
        self.handle(
            it.ProbeEnded(
                engine.encode(), it.DispatchOutcome[outcome.upper()], 0.001, tuple(map(float, report))
            )
        )

    def do_left(self, batch):
        """Report that the client of a batch has left."""
        self.handle(it.ClientLeft(int(batch)))

    def do_stops(self, at):
        """Announce that the front ends at that time."""
        self.handle(it.FrontStopping(float(at)))

    def do_sees(self, *words):
        """Check that an action starts with these words."""
        assert any(s.startswith(" ".join(words)) for s in self.actions), (words, self.actions)

    def do_lacks(self, *words):
        """Check that no action starts with these words."""
        assert not any(s.startswith(" ".join(words)) for s in self.actions), (words, self.actions)

    def do_draws(self, most):
        """Check that at most this many random numbers were drawn since `at`."""
        assert self.front.draws - self.draws <= int(most), self.front.draws - self.draws

    def do_successes(self, group, number):
        """Check how many of the recent batches of a query class ended in time."""
        assert sum(self.front.success_history[list(self.query_classes).index(group)]) == int(number)

    def do_rows(self, number):
        """Check how many engines the front has in its tables."""
        assert len(self.front.engine_index) == int(number) and len(self.front.engine_ids) <= 2, (
            self.front.engine_index
        )

    def do_counts(self, number, *words):
        """Check how many actions start with these words."""
        matching = [s for s in self.actions if s.startswith(" ".join(words))]
        assert len(matching) == int(number), (words, self.actions)


@pytest.mark.parametrize("path", DECISION_FILES, ids=lambda path: path.stem)
def test_scenario(path):
    scenario = DecisionScenario()
    for number, line in enumerate(path.read_text().splitlines(), 1):
        words = line.split("#")[0].split()
        if words and words[0] == "scenario":
            scenario = DecisionScenario()
        elif words:
            try:
                scenario.run_step(*words)
            except AssertionError as why:
                raise AssertionError(f"{path.name}:{number}: {line}") from why


def scenarios(path):
    """Return the scenarios of a file by title, each as a list of (`file:line`, words)."""
    by_title = {}
    for number, line in enumerate(path.read_text().splitlines(), 1):
        words = line.split(" #")[0].split() if not line.startswith("#") else []
        if words and words[0] == "scenario":
            lines = by_title[" ".join(words[1:])] = []
        elif words:
            lines.append((f"{path.name}:{number}", words))
    return by_title


@pytest.mark.parametrize("title, lines", [item for path in SOCKET_FILES for item in scenarios(path).items()])
def test_on_sockets(title, lines):
    asyncio.run(run_steps(lines))
