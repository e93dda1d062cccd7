"""Plays every file in `scenarios/`: those in `sockets/` against a whole front with stand-ins for all that
it talks to, the others against the decisions alone. `docs/scenarios.md` describes the notation."""

import asyncio
from pathlib import Path

import pytest
from stage import played

from thistlelever.ground import interface as it
from thistlelever.admission.decide import Front

FILES = sorted(Path(__file__).with_name("scenarios").glob("*.txt"))
SOCKETS = sorted(Path(__file__).with_name("scenarios").glob("*/*.txt"))
GROUP = it.QueryClass(
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
TALLY = {
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


def value(name, word):
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


def pairs(words):
    return {name: value(name, word) for name, word in (w.split("=") for w in words)}


class Play:
    def __init__(self):
        self.settings, self.groups, self.front, self.now, self.seen = SETTINGS, {}, None, 0.0, []
        self.entries = {}

    def tell(self, *events):
        if self.front is None:
            settings = self.settings._replace(tariffs=tuple(self.groups.values()))
            self.front = Front(settings, 7)
            whole = it.EngineListReceived(it.ListKind.CACHED, 1, tuple(self.entries.values()))
            events = (whole, *events)
        for action in self.front.handle(self.now, list(events)):
            rest = [x.decode() if isinstance(x, bytes) else str(x) for x in action]
            self.seen.append(" ".join([TALLY.get(type(action), "other"), *rest]))

    def line(self, verb, *words):
        getattr(self, "do_" + verb)(*words)

    def do_front(self, *words):
        self.settings = self.settings._replace(**pairs(words))

    def do_group(self, name, *words):
        self.groups[name] = GROUP._replace(name=name, **pairs(words))

    def do_engine(self, name, *words):
        old = self.entries.get(name, it.Engine(name.encode(), 0, 0, 0, it.EngineState.READY, 0.0, 1.0))
        known = pairs(w for w in words if "standing" not in w)
        for word in words:
            if word.startswith("standing="):
                known["state"] = it.EngineState[word[9:].upper()]
        self.entries[name] = old._replace(**known)
        if self.front:
            self.tell(it.EngineListReceived(it.ListKind.CHANGES, 2, (self.entries[name],)))

    def do_list(self, kind, *names):
        self.tell(it.EngineListReceived(it.ListKind[kind.upper()], 3, tuple(self.entries[n] for n in names)))

    def do_at(self, when):
        self.now, self.seen = float(when), []
        self.draws = self.front.draws if self.front else 0

    def do_wake(self):
        self.tell(it.TimerDue(0))

    def do_take(self, batch, group, *words):
        p = pairs(words)
        place = list(self.groups).index(group)
        limit = p.get("limit", self.groups[group].time_limit)
        for number in batch.split("-")[:1] if "-" not in batch else range(*map(int, batch.split("-"))):
            self.tell(
                it.BatchReceived(
                    int(number),
                    place,
                    p.get("owner", 0),
                    p.get("key", 0),
                    limit,
                    p.get("work"),
                    p.get("memory", 0.0),
                    p.get("tables", 1.0),
                    False,
                )
            )

    def do_end(self, dispatch, engine, outcome, *words):
        p, (batch, number) = pairs(w for w in words if "report" not in w), map(int, dispatch.split("/"))
        report = tuple(float(x) for w in words if w.startswith("report=") for x in w[7:].split("+"))
        outcome = it.DispatchOutcome[outcome.upper()]
        self.tell(
            it.DispatchEnded(
                batch,
                number,
                engine.encode(),
                outcome,
                p.get("took", 0.1),
                p.get("complete", outcome is it.DispatchOutcome.RETURNED),
                p.get("work", 0.0),
                p.get("memory", 0.0),
                report,
            )
        )

    def do_note(self, dispatch, engine, kind, amount):
        batch, number = map(int, dispatch.split("/"))
        self.tell(
            it.ProgressNote(batch, number, engine.encode(), it.ProgressKind[kind.upper()], float(amount))
        )

    def do_probed(self, engine, outcome, *report):
        self.tell(
            it.ProbeEnded(
                engine.encode(), it.DispatchOutcome[outcome.upper()], 0.001, tuple(map(float, report))
            )
        )

    def do_left(self, batch):
        self.tell(it.ClientLeft(int(batch)))

    def do_stops(self, at):
        self.tell(it.FrontStopping(float(at)))

    def do_sees(self, *words):
        assert any(s.startswith(" ".join(words)) for s in self.seen), (words, self.seen)

    def do_lacks(self, *words):
        assert not any(s.startswith(" ".join(words)) for s in self.seen), (words, self.seen)

    def do_draws(self, most):
        assert self.front.draws - self.draws <= int(most), self.front.draws - self.draws

    def do_successes(self, group, number):
        assert sum(self.front.success_history[list(self.groups).index(group)]) == int(number)

    def do_rows(self, number):
        assert len(self.front.engine_index) == int(number) and len(self.front.engine_ids) <= 2, (
            self.front.engine_index
        )

    def do_counts(self, number, *words):
        found = [s for s in self.seen if s.startswith(" ".join(words))]
        assert len(found) == int(number), (words, self.seen)


@pytest.mark.parametrize("path", FILES, ids=lambda p: p.stem)
def test_scenario(path):
    play = Play()
    for number, line in enumerate(path.read_text().splitlines(), 1):
        words = line.split("#")[0].split()
        if words and words[0] == "scenario":
            play = Play()
        elif words:
            try:
                play.line(*words)
            except AssertionError as why:
                raise AssertionError(f"{path.name}:{number}: {line}") from why


def scenarios(path):
    """Each scenario of a file by its title: its lines with their numbers."""
    found = {}
    for number, line in enumerate(path.read_text().splitlines(), 1):
        words = line.split(" #")[0].split() if not line.startswith("#") else []
        if words and words[0] == "scenario":
            lines = found[" ".join(words[1:])] = []
        elif words:
            lines.append((f"{path.name}:{number}", words))
    return found


@pytest.mark.parametrize("title, lines", [p for path in SOCKETS for p in scenarios(path).items()])
def test_on_sockets(title, lines):
    asyncio.run(played(lines))
