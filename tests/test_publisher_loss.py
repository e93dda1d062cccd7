"""A small run of the rig for publisher failover, as CI runs it."""

from test_rigs import played


def test_a_killed_and_a_stopped_publisher_are_replaced():
    last = played("publisher_loss", "--seed", "2", "--distributors", "5", "--losses", "2", within=180)
    assert last["holds"], last
    assert {loss["kind"] for loss in last["losses"]} == {"killed", "stopped"}
