"""The rig of publisher losses, in the small size that CI runs."""

from test_rigs import run_rig


def test_a_killed_and_a_stopped_publisher_are_replaced():
    last = run_rig("publisher_loss", "--seed", "2", "--distributors", "5", "--losses", "2", timeout_s=180)
    assert last["holds"], last
    assert {loss["kind"] for loss in last["losses"]} == {"killed", "stopped"}
