"""The scale rig small, as CI plays it; and that it names the rule that is broken where a guard of the product
is taken out on purpose."""

import pytest

from test_rigs import played

# Half the usual heartbeat, as most of the time goes by waiting for one.
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
