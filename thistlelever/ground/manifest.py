"""Reads settings into Settings, for the bench's wire and the real front alike: their names end here."""

from __future__ import annotations

from math import isfinite, nan

from thistlelever.ground import interface as it

REPEATS = {
    "repeatable": it.Idempotency.IDEMPOTENT,
    "by_key": it.Idempotency.DEDUPLICATED,
    "once": it.Idempotency.NON_IDEMPOTENT,
}
SHORTAGES = {
    "queue": it.MemoryShortage.QUEUE,
    "trim": it.MemoryShortage.SHRINK,
    "swap": it.MemoryShortage.PAGE,
}
REPORTS = {
    "piggyback": it.ReportDelivery.WITH_ANSWERS,
    "pull": it.ReportDelivery.WHEN_PROBED,
    "silent": it.ReportDelivery.NEVER,
}


class Unreadable(Exception):
    """A setting is missing or says what the wire's page does not know."""


class Conf:
    """The settings as words, looked up by path."""

    def __init__(self, pairs: dict[str, str]) -> None:
        self.pairs = pairs

    def word(self, path: str) -> str:
        if path not in self.pairs:
            raise Unreadable(f"setting {path} is missing")
        return self.pairs[path]

    def number(self, path: str) -> float:
        word = self.word(path)
        try:
            value = float(word)
        except ValueError:
            value = nan
        if not isfinite(value):
            raise Unreadable(f"setting {path} is no number: {word}")
        return value

    def whole(self, path: str) -> int:
        return int(self.number(path))

    def seconds(self, path: str) -> float:
        return self.number(path) / 1e6

    def truth(self, path: str) -> bool:
        return self.among(path, {"true": True, "false": False})

    def among(self, path: str, known: dict):
        word = self.word(path)
        if word not in known:
            raise Unreadable(f"setting {path} says {word}")
        return known[word]

    def words(self, path: str) -> list[str]:
        return [word for word in self.word(path).split(",") if word]

    def place(self, word: str, names: str, path: str) -> int:
        """A place in a list of names, given as its number or by its name."""
        known = self.words(names)
        if word in known:
            return known.index(word)
        if word.isdigit() and int(word) < len(known):
            return int(word)
        raise Unreadable(f"setting {path} says {word}, which is no place of {names}")

    def places(self, path: str, names: str) -> frozenset[int] | None:
        if path not in self.pairs:
            return None
        return frozenset(self.place(word, names, path) for word in self.words(path))


def manifest(text: str) -> it.Settings:
    """The Settings that the settings' text describes, one `path=value` a line."""
    return made(Conf(dict(line.split("=", 1) for line in text.splitlines() if "=" in line)))


def made(conf: Conf) -> it.Settings:
    try:
        return read(conf)
    except (ValueError, OverflowError) as why:
        raise Unreadable(f"settings: {why}") from None


def read(conf: Conf) -> it.Settings:
    groups = range(conf.whole("Classes.count"))
    widths = [int(float(w)) for w in conf.words("FamilyInfo.WidthByClass")]
    holds = [w == "true" for w in conf.words("FamilyInfo.HoldsTables")]
    yields = [w == "true" for w in conf.words("FamilyInfo.YieldsToLoads")]
    for name, row in (("WidthByClass", widths), ("HoldsTables", holds), ("YieldsToLoads", yields)):
        if len(row) != len(groups):
            raise Unreadable(f"setting FamilyInfo.{name} has {len(row)} values for {len(groups)} classes")
    rationed = "Invariants.LookBack" in conf.pairs
    asked = conf.among("RegistryMode", {"pushed": False, "on_request": True})
    parties = range(conf.whole("Parties.count")) if "Parties.count" in conf.pairs else range(0)
    return it.Settings(
        fronts=conf.whole("Balancers"),
        zone=conf.place(conf.word("MyZone"), "FailureDomains", "MyZone"),
        tariffs=tuple(tariff(conf, f"Classes.{g}.", widths[g], holds[g], yields[g]) for g in groups),
        consignors=tuple(
            it.Tenant(conf.word(f"Parties.{p}.Name"), conf.number(f"Parties.{p}.QuotaPerS")) for p in parties
        ),
        over_share_worth=conf.number("OverShareWorth") if parties else 1.0,
        kind_cores=tuple(int(float(w)) for w in conf.words("FamilyInfo.KindCores")),
        kind_memory=tuple(float(w) for w in conf.words("FamilyInfo.MemoryByKindMb")),
        most_grant=conf.number("FamilyInfo.GrantCap"),
        grants=conf.truth("FamilyInfo.MemoryHeeded"),
        priorities=conf.truth("FamilyInfo.RanksHeeded"),
        shortage=conf.among("FamilyInfo.OutOfMemory", SHORTAGES),
        note_every=conf.seconds("FamilyInfo.NotePeriod"),
        tells_cost=conf.truth("FamilyInfo.SaysCost"),
        reports=conf.among("Telemetry.How", REPORTS),
        report_fields=tuple(conf.words("Telemetry.Fields")) if "Telemetry.Fields" in conf.pairs else (),
        sized=conf.word("Weights") != "silent",
        asks_for_list=asked,
        ask_within=conf.seconds("Invariants.MustAskIn") if asked else 0.0,
        tick=conf.seconds("Tick"),
        probes=conf.truth("Limits.Probes"),
        probe_price=conf.number("Prices.Probe"),
        cross_price=conf.number("Prices.CrossZone"),
        cancel=conf.truth("Limits.Cancelling"),
        copies=conf.truth("Limits.ParallelTries"),
        names_return=conf.truth("Limits.RetryAfter"),
        longest_return=conf.seconds("Limits.MaxRetryAfter"),
        most_dispatches=conf.whole("Limits.MaxAttempts"),
        connect_limit=conf.seconds("Limits.ConnectTimeout"),
        drain_grace=conf.seconds("Invariants.DrainGrace"),
        cold_share=conf.number("Invariants.ColdShare"),
        warm_after=conf.seconds("Invariants.WarmAfter"),
        fall_multiple=conf.number("Invariants.FallMultiple"),
        fall_window=conf.seconds("Invariants.Fall"),
        key_rest=conf.seconds("Invariants.KeyRest") if "Invariants.KeyRest" in conf.pairs else 0.0,
        allowance=it.RetryBudget(
            conf.number("Invariants.ExtraFloor"),
            conf.number("Invariants.ResendRatio"),
            conf.seconds("Invariants.LookBack"),
        )
        if rationed
        else None,
    )


def tariff(conf: Conf, at: str, width: int, holds: bool, yields: bool) -> it.QueryClass:
    repeat = conf.among(at + "Idempotency", REPEATS)
    referenced = repeat is it.Idempotency.DEDUPLICATED
    return it.QueryClass(
        name=conf.word(at + "Name"),
        utility=conf.number(at + "Value"),
        late_share=conf.number(at + "LateShare"),
        goal=conf.seconds(at + "Slo"),
        goal_stretch=conf.number(at + "AimStretch") if at + "AimStretch" in conf.pairs else 0.0,
        time_limit=conf.seconds(at + "Deadline"),
        repeat=repeat,
        scope=conf.among(at + "DedupScope", {s.value: s for s in it.DeduplicationScope})
        if referenced
        else it.DeduplicationScope.ALL,
        window=conf.seconds(at + "Window") if referenced else 0.0,
        width=width,
        holds_tables=holds,
        yields_to_loads=yields,
        in_order=conf.truth(at + "Sequential") if at + "Sequential" in conf.pairs else False,
        zones=conf.places(at + "RunsIn", "FailureDomains"),
        kinds=conf.places(at + "KindsOnly", "Kinds"),
    )
