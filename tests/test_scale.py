"""A small run of the scale rig, as CI runs it; with a safeguard of the product disabled, the rig must report
the rule that is broken then."""

from math import inf

import pytest

from rigs.loop_lag import lag_between
from rigs.scale_verdict import FrontHistory, InForce, last_in_force
from test_rigs import played
from thistlelever.distribution.versions import Version

# Half the usual heartbeat: most of a run is spent waiting for heartbeats.
SMALL = ("--fronts", "60", "--engines", "400", "--heartbeat", "1")


def test_scale_holds_small():
    last = played("scale", "--seed", "1", *SMALL)
    assert last["holds"], last
    assert last["went_back"] == last["mixed"] == last["versions_differ"] == 0
    assert last["checked"] > 1_000 and last["answers"]["1"] > 100


@pytest.mark.parametrize(
    "guard, rule",
    [
        ("gap", "a front held at a version what is not its content"),
        ("back", "a front went back to an older version"),
        ("hash_order", "same subset everywhere"),
        ("no_jitter", "a mass restart without backoff"),
    ],
)
def test_scale_says_no(guard, rule):
    last = played("scale", "--seed", "2", *SMALL, "--sabotage", guard)
    assert not last["holds"] and any(broken.startswith(rule) for broken in last["broken_rules"]), last


def test_lags_count_as_far_as_they_lie_within_the_span():
    kept = [(10.0, 2.0), (20.0, 1.0), (30.0, 5.0)]
    assert lag_between(kept, 9.0, 28.0) == pytest.approx(1.0 + 1.0 + 3.0)
    assert lag_between(kept, 40.0, 41.0) == 0.0


def in_force(seconds, front, number):
    return InForce(seconds, "burst", front, Version(1, number), 100.0 + seconds)


@pytest.mark.parametrize("never", [False, True])
def test_the_last_change_in_force_is_told_with_its_front_and_the_lag_there(never):
    times = [in_force(1.0, "a", 2), in_force(9.5, "a", 3), in_force(0.5, "b", 3), in_force(2.0, "b", 2)]
    if never:
        times.append(in_force(inf, "c", 4))
    logs = {name: FrontHistory(None, "hollow-0", [(105.0, 4.0)]) for name in "abc"}
    told = last_in_force(times, logs)
    if never:
        assert told["front"] == "c" and told["last_s"] is None and told["process_lag_s"] == 0.0
    else:
        assert (told["front"], told["version"], told["last_s"]) == ("a", str(Version(1, 3)), 9.5)
        assert (told["first_s"], told["over_half_as_late"], told["process_lag_s"]) == (0.5, 1, 4.0)
    assert last_in_force([], logs) is None
