"""The rig of publisher losses, in the small size that CI runs, and the judgement of who published when."""

import pytest
from test_rigs import run_rig

from rigs import succession
from rigs.succession import DEPOSED, SEATED, Loss, RoleEvent

START = RoleEvent(1.0, 0, SEATED, 64)
SUCCESSION = [START, RoleEvent(16.0, 1, SEATED, 129), RoleEvent(18.0, 0, DEPOSED, 64)]
STOPPED = Loss(10.0, "stopped", 0, 1, 6.5)


def test_a_killed_and_a_stopped_publisher_are_replaced():
    last = run_rig("publisher_loss", "--seed", "2", "--distributors", "5", "--losses", "2", timeout_s=180)
    assert last["holds"], last
    assert {loss["kind"] for loss in last["losses"]} == {"killed", "stopped"}


def test_each_loss_has_one_successor_with_slow_disks():
    # Voters claim against the claimant that they have promised while promises are still being written.
    last = run_rig("publisher_loss", "--seed", "3", "--slow-disks", "--losses", "2", timeout_s=180)
    assert last["holds"], last
    assert {loss["kind"] for loss in last["losses"]} == {"killed", "stopped"}


@pytest.mark.parametrize(
    "guard, broken, size",
    [
        ("usurp", succession.DEPOSED_WITHOUT_FAULT, ("--losses", "0", "--starts", "1")),
        ("unconfirmed", "a confirmed change is missing", ("--losses", "1")),
    ],
)
def test_a_disabled_safeguard_is_named(guard, broken, size):
    last = run_rig("publisher_loss", "--seed", "4", "--slow-disks", "--sabotage", guard, *size, timeout_s=180)
    assert not last["holds"] and broken in last["broken_rules"], last


@pytest.mark.parametrize(
    "events, losses, broken",
    [
        ([START], [], []),
        (SUCCESSION, [STOPPED], []),
        ([], [], [succession.OTHER_AT_START]),
        ([START, RoleEvent(2.0, 0, SEATED, 128)], [], [succession.OTHER_AT_START]),
        ([START], [STOPPED], [succession.NO_SUCCESSOR]),
        (SUCCESSION, [STOPPED._replace(successor=None)], [succession.NO_SUCCESSOR]),
        ([*SUCCESSION, RoleEvent(20.0, 2, SEATED, 194)], [STOPPED], [succession.TWO_SUCCESSORS]),
        ([*SUCCESSION, RoleEvent(20.0, 1, DEPOSED, 129)], [STOPPED], [succession.DEPOSED_WITHOUT_FAULT]),
        # Deposed before it was lost.
        (
            [START, RoleEvent(9.0, 0, DEPOSED, 64), SUCCESSION[1]],
            [STOPPED],
            [succession.DEPOSED_WITHOUT_FAULT],
        ),
    ],
)
def test_the_judgement_of_a_succession(events, losses, broken):
    assert succession.broken_rules(sorted(events), losses) == broken
