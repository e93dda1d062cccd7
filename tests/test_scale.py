"""The scale rig in the small size that CI runs: it passes, and it names the broken rule where a safeguard of
the product is removed on purpose."""

from math import inf

import pytest

from rigs.loop_lag import lag_between
from rigs.scale_verdict import FrontHistory, InForce, last_in_force
from test_rigs import run_rig
from thistlelever.distribution.versions import Version

# Half the usual heartbeat interval, as the rig spends most of its time waiting for heartbeats.
SMALL = ("--fronts", "60", "--engines", "400", "--heartbeat", "1")


def test_scale_holds_small():
    last = run_rig("scale", "--seed", "1", *SMALL)
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
    last = run_rig("scale", "--seed", "2", *SMALL, "--sabotage", guard)
    assert not last["holds"] and any(broken.startswith(rule) for broken in last["broken_rules"]), last


def test_lags_count_as_far_as_they_lie_within_the_span():
    lags = [(10.0, 2.0), (20.0, 1.0), (30.0, 5.0)]
    assert lag_between(lags, 9.0, 28.0) == pytest.approx(1.0 + 1.0 + 3.0)
    assert lag_between(lags, 40.0, 41.0) == 0.0


def in_force(seconds, front, number):
    return InForce(seconds, "burst", front, Version(1, number), 100.0 + seconds)


@pytest.mark.parametrize("never", [False, True])
def test_the_last_change_in_force_is_told_with_its_front_and_the_lag_there(never):
    applied = [in_force(1.0, "a", 2), in_force(9.5, "a", 3), in_force(0.5, "b", 3), in_force(2.0, "b", 2)]
    if never:
        applied.append(in_force(inf, "c", 4))
    logs = {name: FrontHistory(None, "hollow-0", [(105.0, 4.0)]) for name in "abc"}
    found = last_in_force(applied, logs)
    if never:
        assert found["front"] == "c" and found["last_s"] is None and found["process_lag_s"] == 0.0
    else:
        assert (found["front"], found["version"], found["last_s"]) == ("a", str(Version(1, 3)), 9.5)
        assert (found["first_s"], found["over_half_as_late"], found["process_lag_s"]) == (0.5, 1, 4.0)
    assert last_in_force([], logs) is None
