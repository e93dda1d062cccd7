"""Parses the platform's settings into a `Settings`.

The settings come as text with one `path=value` a line (`thistlelever.wirehost`) or as part of the front's
configuration (`ground/config.py`). No package outside `ground` reads a setting by its name.
"""

from __future__ import annotations

from math import isfinite, nan

from thistlelever.ground import interface as it

IDEMPOTENCY = {
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


class ConfigError(Exception):
    """The configuration, a setting or the operator file can't be used; the text names the key at fault."""


class SettingsReader:
    """Typed access to settings, which are strings looked up by their dotted paths.

    All methods raise `ConfigError` where the setting is missing or invalid, unless they say otherwise.
    """

    def __init__(self, pairs: dict[str, str]) -> None:
        """Wrap the settings' values by path."""
        self.pairs = pairs

    def text(self, path: str) -> str:
        """Return a setting as it is written."""
        if path not in self.pairs:
            raise ConfigError(f"setting {path} is missing")
        return self.pairs[path]

    def number(self, path: str) -> float:
        """Return a finite number."""
        text = self.text(path)
        try:
            value = float(text)
        except ValueError:
            value = nan
        if not isfinite(value):
            raise ConfigError(f"setting {path} is not a number: {text}")
        return value

    def integer(self, path: str) -> int:
        """Return a number truncated to an integer."""
        return int(self.number(path))

    def seconds(self, path: str) -> float:
        """Return a duration in seconds; the setting is in microseconds."""
        return self.number(path) / 1e6

    def boolean(self, path: str) -> bool:
        """Return a boolean, written `true` or `false`."""
        return self.choice(path, {"true": True, "false": False})

    def choice(self, path: str, known: dict):
        """Return the value that `known` has for the setting's text."""
        text = self.text(path)
        if text not in known:
            raise ConfigError(f"setting {path} has an unknown value: {text}")
        return known[text]

    def items(self, path: str) -> list[str]:
        """Return the non-empty items of a comma-separated list."""
        return [item for item in self.text(path).split(",") if item]

    def index(self, item: str, names: str, path: str) -> int:
        """Return the index of `item`, a name or a decimal index, in the list that is the setting `names`.

        `path` is the setting that has the item, for the error message.
        """
        known = self.items(names)
        if item in known:
            return known.index(item)
        if item.isdigit() and int(item) < len(known):
            return int(item)
        raise ConfigError(f"setting {path}: {item} is not in {names}")

    def indexes(self, path: str, names: str) -> frozenset[int] | None:
        """Return the indexes of a list's items as `index` does; None where the setting is missing."""
        if path not in self.pairs:
            return None
        return frozenset(self.index(item, names, path) for item in self.items(path))


def parse_settings(text: str) -> it.Settings:
    """Parse settings from text, one `path=value` a line; raises `ConfigError`."""
    return build_settings(
        SettingsReader(dict(line.split("=", 1) for line in text.splitlines() if "=" in line))
    )


def build_settings(reader: SettingsReader) -> it.Settings:
    """Build the `Settings` from settings; raises `ConfigError` for any that is missing or invalid."""
    try:
        return assemble(reader)
    except (ValueError, OverflowError) as why:
        raise ConfigError(f"settings: {why}") from None


def assemble(reader: SettingsReader) -> it.Settings:
    """Build the `Settings`; a bad item in a list of numbers raises ValueError or OverflowError."""
    classes = range(reader.integer("Classes.count"))
    widths = [int(float(w)) for w in reader.items("FamilyInfo.WidthByClass")]
    holds = [w == "true" for w in reader.items("FamilyInfo.HoldsTables")]
    yields = [w == "true" for w in reader.items("FamilyInfo.YieldsToLoads")]
    for name, row in (("WidthByClass", widths), ("HoldsTables", holds), ("YieldsToLoads", yields)):
        if len(row) != len(classes):
            raise ConfigError(f"setting FamilyInfo.{name} has {len(row)} values for {len(classes)} classes")
    has_retry_budget = "Invariants.LookBack" in reader.pairs
    on_request = reader.choice("RegistryMode", {"pushed": False, "on_request": True})
    tenants = range(reader.integer("Parties.count")) if "Parties.count" in reader.pairs else range(0)
    return it.Settings(
        fronts=reader.integer("Balancers"),
        zone=reader.index(reader.text("MyZone"), "FailureDomains", "MyZone"),
        tariffs=tuple(query_class(reader, f"Classes.{c}.", widths[c], holds[c], yields[c]) for c in classes),
        consignors=tuple(
            it.Tenant(reader.text(f"Parties.{t}.Name"), reader.number(f"Parties.{t}.QuotaPerS"))
            for t in tenants
        ),
        over_share_worth=reader.number("OverShareWorth") if tenants else 1.0,
        kind_cores=tuple(int(float(w)) for w in reader.items("FamilyInfo.KindCores")),
        kind_memory=tuple(float(w) for w in reader.items("FamilyInfo.MemoryByKindMb")),
        most_grant=reader.number("FamilyInfo.GrantCap"),
        grants=reader.boolean("FamilyInfo.MemoryHeeded"),
        priorities=reader.boolean("FamilyInfo.RanksHeeded"),
        shortage=reader.choice("FamilyInfo.OutOfMemory", SHORTAGES),
        note_every=reader.seconds("FamilyInfo.NotePeriod"),
        tells_cost=reader.boolean("FamilyInfo.SaysCost"),
        reports=reader.choice("Telemetry.How", REPORTS),
        report_fields=tuple(reader.items("Telemetry.Fields")) if "Telemetry.Fields" in reader.pairs else (),
        sized=reader.text("Weights") != "silent",
        asks_for_list=on_request,
        ask_within=reader.seconds("Invariants.MustAskIn") if on_request else 0.0,
        tick=reader.seconds("Tick"),
        probes=reader.boolean("Limits.Probes"),
        probe_price=reader.number("Prices.Probe"),
        cross_price=reader.number("Prices.CrossZone"),
        cancel=reader.boolean("Limits.Cancelling"),
        copies=reader.boolean("Limits.ParallelTries"),
        names_return=reader.boolean("Limits.RetryAfter"),
        longest_return=reader.seconds("Limits.MaxRetryAfter"),
        most_dispatches=reader.integer("Limits.MaxAttempts"),
        connect_limit=reader.seconds("Limits.ConnectTimeout"),
        drain_grace=reader.seconds("Invariants.DrainGrace"),
        cold_share=reader.number("Invariants.ColdShare"),
        warm_after=reader.seconds("Invariants.WarmAfter"),
        fall_multiple=reader.number("Invariants.FallMultiple"),
        fall_window=reader.seconds("Invariants.Fall"),
        key_rest=reader.seconds("Invariants.KeyRest") if "Invariants.KeyRest" in reader.pairs else 0.0,
        allowance=it.RetryBudget(
            reader.number("Invariants.ExtraFloor"),
            reader.number("Invariants.ResendRatio"),
            reader.seconds("Invariants.LookBack"),
        )
        if has_retry_budget
        else None,
    )


def query_class(reader: SettingsReader, at: str, width: int, holds: bool, yields: bool) -> it.QueryClass:
    """Build the terms of the query class whose settings are at the path prefix `at`.

    `width`, `holds` and `yields` are its items of the `FamilyInfo` lists `WidthByClass`, `HoldsTables` and
    `YieldsToLoads`.
    """
    repeat = reader.choice(at + "Idempotency", IDEMPOTENCY)
    deduplicated = repeat is it.Idempotency.DEDUPLICATED
    return it.QueryClass(
        name=reader.text(at + "Name"),
        utility=reader.number(at + "Value"),
        late_share=reader.number(at + "LateShare"),
        goal=reader.seconds(at + "Slo"),
        goal_stretch=reader.number(at + "AimStretch") if at + "AimStretch" in reader.pairs else 0.0,
        time_limit=reader.seconds(at + "Deadline"),
        repeat=repeat,
        scope=reader.choice(at + "DedupScope", {s.value: s for s in it.DeduplicationScope})
        if deduplicated
        else it.DeduplicationScope.ALL,
        window=reader.seconds(at + "Window") if deduplicated else 0.0,
        width=width,
        holds_tables=holds,
        yields_to_loads=yields,
        in_order=reader.boolean(at + "Sequential") if at + "Sequential" in reader.pairs else False,
        zones=reader.indexes(at + "RunsIn", "FailureDomains"),
        kinds=reader.indexes(at + "KindsOnly", "Kinds"),
    )
