"""Membership: malformed datagrams, failure scenarios on a simulated network with a virtual clock, every
combination in which a few datagrams are lost or late, and a stateful property test.
"""

import os
import subprocess
import sys
from itertools import product
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from rigs.membership_model import TIER, Network
from thistlelever.membership.config import MembershipConfig
from thistlelever.membership.failure_detector import FailureDetector
from thistlelever.membership.gossip import GossipQueue
from thistlelever.membership.member import REPLAY_WINDOW, Member, accept_sequence_number
from thistlelever.membership.service_health import MIN_RECEIVED, STUCK_AFTER, Observation, ServiceHealth
from thistlelever.membership.types import Identity, TierSettings
from thistlelever.wire import peers as wire
from thistlelever.wire.peers import GossipUpdate, Message, MessageKind, State

UPDATE = GossipUpdate("front-1", bytes((127, 0, 0, 1, 0, 9)), 7, 7, State.ALIVE)


def message(updates=(), **fields):
    """A ping with the given fields and updates."""
    defaults = {
        "kind": MessageKind.PING,
        "name": "front-0",
        "life": 5,
        "incarnation": 5,
        "count": 1,
        "nonce": 3,
        "digest": 9,
    } | fields
    return Message(**defaults, updates=tuple(wire.encode_update(u) for u in updates))


def test_a_message_comes_back_as_it_went():
    data = wire.encode(message([UPDATE], place="front-2"), TIER)
    protocol, body = wire.decode_frame(data, TIER)
    decoded, updates = wire.decode(body)
    assert (protocol, decoded.name, decoded.place, updates) == (
        wire.MEMBERSHIP,
        "front-0",
        "front-2",
        (UPDATE,),
    )


@pytest.mark.parametrize(
    "spoil, kind",
    [
        (lambda d: d + bytes(wire.MAX_DATAGRAM_SIZE), "too long"),
        (lambda d: d[:5], "too short"),
        (lambda d: bytes((2,)) + d[1:], "of another version"),
        (lambda d: d[:2] + b"xxxx" + d[6:], "of another tier"),
        (lambda d: d[:-1] + bytes((d[-1] ^ 1,)), "damaged"),
        (lambda d: d[:-1], "damaged"),
        (lambda d: d[:1] + b"\7" + d[2:], "damaged"),
    ],
)
def test_what_is_no_word_of_this_tier_says_why(spoil, kind):
    with pytest.raises(wire.InvalidDatagram) as why:
        wire.decode_frame(spoil(wire.encode(message(), TIER)), TIER)
    assert why.value.reason == kind


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xc1",
        wire._pack([1, 2]),
        wire._pack(message(name="")),
        wire._pack(message(name="x" * 65)),
        wire._pack(message(incarnation=2**32)),
        wire._pack(message(count=-1)),
        wire._pack(message([GossipUpdate("a", b"short", 1, 1, State.ALIVE)])),
        wire._pack(message([GossipUpdate("a", bytes(6), 2**40, 1, State.ALIVE)])),
    ],
)
def test_a_body_out_of_form_raises_nothing_else(body):
    with pytest.raises(wire.InvalidDatagram, match="out of form"):
        wire.decode(body)


def test_a_bit_turned_anywhere_is_seen():
    data = wire.encode(message([UPDATE]), TIER)
    for place in range(len(data) * 8):
        corrupted = bytearray(data)
        corrupted[place // 8] ^= 1 << place % 8
        with pytest.raises(wire.InvalidDatagram):
            wire.decode_frame(bytes(corrupted), TIER)


def test_rumours_fit_their_frame_and_each_gets_its_turn():
    # Under churn the newest updates must not crowd out the others, which would then never be sent.
    queue, seen = GossipQueue(), set()
    for n in range(60):
        queue.add(GossipUpdate(f"front-{n}", bytes(6), 2**31, 2**31, State.SUSPECTED, 2**31))
    for _ in range(60):
        bare = message()
        updates = queue.take(wire.MAX_BODY_SIZE - wire.encoded_size(bare), 5)
        decoded = Message(*(getattr(bare, f) for f in bare.__struct_fields__[:-1]), updates)
        assert len(wire.encode(decoded, TIER)) <= wire.MAX_DATAGRAM_SIZE
        seen |= {u.name for u in wire.decode(wire._pack(decoded))[1]}
    assert len(seen) == 60 and not queue.updates


def test_a_number_is_taken_once_and_not_long_after():
    member = Member("a", ("", 0), 1, 1, 0.0)
    assert [accept_sequence_number(member, n) for n in (5, 3, 5, 3, 4, 6, 6)] == [
        True,
        True,
        False,
        False,
        True,
        True,
        False,
    ]
    assert accept_sequence_number(member, 500)
    assert not accept_sequence_number(member, 500 - REPLAY_WINDOW) and accept_sequence_number(
        member, 501 - REPLAY_WINDOW
    )


def tier(many, seed=1, loss=0.0, way=FailureDetector, **options):
    """A network of that many members that know each other, after two seconds."""
    net = Network(seed, loss, way, check=True, **options)
    names = [f"n{n}" for n in range(many)]
    for name in names:
        net.add(name, fronts=many)
    for name in names:
        net.detectors[name].discovery.peers = tuple(
            net.detectors[o].identity.address for o in names if o != name
        )
    net.run(net.now + 2.0)
    assert net.agree()
    return net


def settle(net, within=4.0):
    """Run until all views agree; fail after `within` seconds."""
    till = net.now + within
    while net.now < till and not net.agree():
        net.run(net.now + 0.1)
    assert net.agree(), {n: net.detectors[n].view(net.now) for n in net.running()}


def states(net, of):
    """The state of one member in the views of all other running members."""
    return {n: net.detectors[n].members[of].state for n in net.running() if n != of}


def test_one_that_leaves_is_not_asked_for_its_list_again_and_again():
    net = tier(5)
    net.detectors["n1"].leave(net.now)
    net.carry("n1", net.detectors["n1"], net.detectors["n1"].leave(net.now))
    before = net.sent
    net.run(net.now + 1.0)
    # Two probes per round and the messages they cause, for each of five members.
    assert net.sent - before < 5 * 10 * 2 * 4


@pytest.mark.parametrize("loss", [0.0, 0.05, 0.2])
@pytest.mark.parametrize("bursts", [False, True])
def test_a_death_is_known_to_all_and_to_nobody_else(loss, bursts):
    net = tier(8, loss=loss, bursts=bursts)
    net.run(net.now + 5)
    net.kill("n3")
    at = net.now
    settle(net)
    assert all(net.dead_views[n, "n3"] - at < 1.6 for n in net.running()) and not net.false_deaths


@pytest.mark.parametrize("seconds", [0.3, 1.0, 3.0, 10.0])
@pytest.mark.parametrize("who", ["one", "third", "all"])
def test_who_was_paused_accuses_nobody_with_what_waited(seconds, who):
    net = tier(9)
    paused = {"one": ["n4"], "third": ["n0", "n4", "n8"], "all": list(net.detectors)}[who]
    for name in paused:
        net.stop(name)
    net.run(net.now + seconds)
    for name in paused:
        net.resume(name)
    woken = net.now
    net.run(woken + 0.001)
    # After the pause the view must not be acted on until the list of another member has been read.
    assert seconds < 0.5 or all(net.detectors[name].view(net.now).isolation_reason for name in paused)
    settle(net)
    by_woken = [
        c
        for log in net.changes.values()
        for c in log
        if c[0] >= woken and c[1] in paused and c[2] is State.DEAD and c[3] == c[1]
    ]
    assert not by_woken and not net.false_deaths


def test_refutations_of_long_ago_make_no_suspicion_longer():
    """A refutation lengthens suspicions, and the retries of a probe, for one minute only.

    Refutations used to be dropped only when the next one came, so that a member which refuted once was
    suspected for twice as long ever after.
    """
    net = tier(5)
    detector, member = net.detectors["n0"], net.detectors["n0"].members["n1"]
    ordinary = detector.suspicions.duration(member)
    detector.suspicions.accuse(net.now, member, 7, "n0", "as the test says")
    net.run(net.now + 2.0)
    assert member.refuted_at and detector.suspicions.duration(member) == 2 * ordinary
    net.run(net.now + 62.0)
    assert detector.suspicions.duration(member) == ordinary


def test_a_broken_link_between_two_is_nobodys_death():
    net = tier(6)
    net.cut = lambda source, target: (source, target) == ("n1", "n2")
    net.run(net.now + 10)
    assert not net.false_deaths and net.agree()
    suspicions = [c for c in net.changes["n2"] if c[2] is State.SUSPECTED]
    assert not suspicions, suspicions
    # A real death behind the broken link is still detected.
    net.kill("n2")
    settle(net)


# Seed 111 failed before the fix; the others were drawn without looking.
@pytest.mark.parametrize("seed", [111, *range(9_201, 9_231)])
def test_a_broken_link_under_loss_is_not_doubted_again_and_again(seed):
    """A link that was broken one way for 3 s made its sender suspect the receiver time after time.

    At 20% loss the four datagrams of an indirect probe get through in four of ten cases, so both rounds of
    indirect probes fail for about four probes in a hundred, and some ten probes fall into that time. A
    refutation made the next suspicion longer, but the next accusation no less likely. Seen in
    `rigs.membership --seed 6003`: four suspicions within 1.5 s, each refuted within 0.18 s.
    """
    net = tier(5, seed, loss=0.2)
    net.cut = lambda source, target: (source, target) == ("n1", "n2")
    cut_at = net.now
    net.run(cut_at + 3.0)
    suspicions = [
        change
        for change in net.changes["n2"]
        if change[1] == change[3] == "n1" and change[2] is State.SUSPECTED and change[0] >= cut_at
    ]
    assert len(suspicions) <= 2 and not net.false_deaths, suspicions


@pytest.mark.parametrize("mute", [True, False])
def test_who_is_cut_off_one_way_says_that_it_is_alone(mute):
    net = tier(6)
    net.cut = (lambda s, t: s == "n1") if mute else (lambda s, t: t == "n1")
    net.run(net.now + 2.0)
    detector = net.detectors["n1"]
    assert detector.view(net.now).isolation_reason == "nobody answers" and detector.view(net.now).fronts == 6
    # It declares no member dead itself; to the others it is unreachable.
    assert not [c for log in net.changes.values() for c in log if c[1] == c[3] == "n1" and c[2] is State.DEAD]
    net.cut = lambda s, t: False
    settle(net)
    assert not detector.isolation_reason(net.now)
    # At most one death and one return per partition.
    assert len([c for c in net.changes["n1"] if c[1] == "n0" and c[2] is State.DEAD]) <= 1


# Seed 100 failed before the fix; the others were drawn without looking.
@pytest.mark.parametrize("seed", [100, *range(9_101, 9_141)])
def test_who_is_cut_off_holds_nobody_dead_before_it_knows(seed):
    """A front whose messages reached no one declared another dead before it noticed its own isolation.

    Isolation takes 0.35 s without an acknowledgement, and up to 0.525 s with a raised multiplier, while the
    suspicion of a member whose probe had failed by chance kept the 0.4 s with which it began. Seen in
    `rigs.membership --seed 6003`: the death came 0.401 s after the suspicion and 0.096 s before "nobody
    answers".
    """
    net = tier(5, seed, loss=0.2)
    net.run(net.now + seed % 20 / 20)
    net.cut = lambda source, target: source == "n1"
    cut_at = net.now
    net.run(net.now + 1.2)
    believed = [
        change
        for changes in net.changes.values()
        for change in changes
        if change[1] == "n1" and change[2] is State.DEAD and change[0] >= cut_at
    ]
    assert not believed, believed


def test_halves_apart_with_deaths_and_starts_meanwhile():
    net = tier(10)
    left = {f"n{n}" for n in range(4)}
    net.cut = lambda s, t: (s in left) != (t in left)
    net.run(net.now + 2)
    assert all(net.detectors[n].view(net.now).alive == (4 if n in left else 6) for n in net.running())
    net.kill("n1")
    net.kill("n8")
    net.run(net.now + 1.5)
    net.add("n8", peers=tuple(net.detectors[n].identity.address for n in ("n9", "n2")), fronts=10)
    net.add("n10", peers=(net.detectors["n2"].identity.address,), fronts=10)
    net.run(net.now + 1.5)
    net.cut = lambda s, t: False
    healed = net.now
    settle(net, 6.0)
    assert net.now - healed < 4.0


# The first four seeds failed before the fix; the others were drawn without looking.
HEALED_SEEDS = (5, 44, 65, 74, *range(9_001, 9_041))


@pytest.mark.parametrize("seed", HEALED_SEEDS)
def test_what_the_far_side_of_a_cut_believed_is_nobodys_death_once_it_heals(seed):
    """A live member was held dead by a front that had never been cut off from it.

    While a partition lasts, each side rightly holds the other dead. Once it heals, that gossip arrives with
    the incarnation that the member still has, as it had nothing to refute on its own side. A front of its own
    side that suspected it after one missed acknowledgement believed the death at once. Seen in
    `rigs.membership`, seed 1 (0.04 s after the partition ended) and seed 6001 (within 24 ms, through a page
    of a member list).
    """
    net = tier(5, seed, loss=0.2)
    near = {"n0", "n1"}
    net.cut = lambda source, target: (source in near) != (target in near)
    net.run(net.now + 2.0)
    net.cut = lambda source, target: False
    net.false_deaths.clear()
    net.run(net.now + 1.5)
    believed = [death for death in net.false_deaths if (death[1] in near) == (death[2] in near)]
    assert not believed, believed
    settle(net)


def test_seven_in_ten_at_once_and_all_again_a_tenth_at_a_time():
    net = tier(20, loss=0.05)
    for n in range(14):
        net.kill(f"n{n}")
    settle(net, 6.0)
    peers = tuple(j.identity.address for j in net.detectors.values())
    for n in range(0, 20, 2):
        for name in (f"n{n}", f"n{n + 1}"):
            net.kill(name)
            net.add(name, peers=peers, fronts=20)
        net.run(net.now + 0.7)
    settle(net, 6.0)


def test_a_new_life_refutes_what_was_said_of_the_former():
    net = tier(5)
    before = net.detectors["n2"].local.incarnation
    net.kill("n2")
    net.run(net.now + 2)
    assert set(states(net, "n2").values()) == {State.DEAD}
    # Its clock was set back, so the new process looks older than the one that died.
    net.add("n2", peers=(net.detectors["n0"].identity.address,), life=before - 800, fronts=5)
    settle(net)
    assert net.detectors["n2"].local.incarnation > before
    # An update about its death that arrives after its return.
    old = GossipUpdate(
        "n2", wire.address_bytes(net.detectors["n2"].identity.address), before, before, State.DEAD
    )
    for name in ("n0", "n1", "n3"):
        net.detectors[name].merger.merge(net.now, old, "n4")
    assert set(states(net, "n2").values()) == {State.ALIVE}


def test_a_name_that_returns_at_another_address():
    net = tier(5)
    net.kill("n2")
    net.run(net.now + 2)
    net.names[net.detectors.pop("n2").identity.address] = "nobody"
    net.add("n2", peers=(net.detectors["n0"].identity.address,), fronts=5)
    settle(net)
    where = {net.detectors[n].members["n2"].address for n in net.running() if n != "n2"}
    assert where == {net.detectors["n2"].identity.address}


def test_of_two_processes_under_one_name_the_older_stands_down():
    net = tier(4)
    older = net.detectors["n2"]
    newer = FailureDetector(
        MembershipConfig(),
        Identity("n2", ("127.9.9.9", 1), older.identity.life + 50),
        TierSettings(tuple(net.detectors[n].identity.address for n in ("n0", "n1")), 4),
        77,
        net.now,
    )
    net.detectors["twin"], net.names[newer.identity.address] = newer, "twin"
    net.at(net.now, "turn", "twin", newer)
    net.run(net.now + 6)
    assert older.conflicts.newer_process and not newer.conflicts.newer_process
    assert "started later" in older.view(net.now).isolation_reason and older.view(net.now).fronts == 4
    assert {net.detectors[n].members["n2"].address for n in ("n0", "n1", "n3")} == {newer.identity.address}


def test_a_slow_one_is_not_dead():
    net = tier(6)
    datagram = net.do_datagram

    def late(source, name, data, again=False):
        # A front on a tenth of a core: its event loop comes round every 0.15 s.
        if name == "n1" and not again:
            net.at((int(net.now / 0.15) + 1) * 0.15, "datagram", source, name, data, True)
        else:
            datagram(source, name, data)

    net.do_datagram = late
    net.run(net.now + 10)
    assert not net.false_deaths


def test_one_that_serves_nobody_says_so_and_is_not_dead():
    net = tier(4)
    net.detectors["n1"].set_serving(net.now, False)
    net.run(net.now + 1)
    assert set(states(net, "n1").values()) == {State.UNFIT}
    assert net.detectors["n0"].view(net.now).unfit == 1 and net.detectors["n0"].view(net.now).alive == 4
    net.detectors["n1"].set_serving(net.now + 1, True)
    net.run(net.now + 2)
    assert set(states(net, "n1").values()) == {State.ALIVE}


def test_fitness_is_judged_by_what_is_returned():
    health = ServiceHealth()
    assert health.observe(Observation(0.0, True, 0, 0, 0, 0))
    assert health.observe(Observation(1.0, True, MIN_RECEIVED, MIN_RECEIVED, 0, 0))
    assert not health.observe(Observation(STUCK_AFTER + 1, True, 2 * MIN_RECEIVED, 2 * MIN_RECEIVED, 0, 0))
    assert health.observe(
        Observation(STUCK_AFTER + 2, True, 2 * MIN_RECEIVED + 1, 2 * MIN_RECEIVED + 1, 1, 0)
    )
    assert not health.observe(Observation(STUCK_AFTER + 3, False, 0, 0, 1, 0))


def test_who_leaves_is_not_taken_for_dead():
    net = tier(6)
    net.carry("n3", net.detectors["n3"], net.detectors["n3"].leave(net.now))
    net.run(net.now + 0.5)
    net.kill("n3")
    assert set(states(net, "n3").values()) == {State.LEFT}
    assert net.detectors["n0"].view(net.now).fronts == 5
    net.add("n3", peers=(net.detectors["n0"].identity.address,), fronts=6)
    settle(net)


def test_no_peer_at_the_start_and_a_list_that_changes():
    net = Network(3, 0.0, check=True)
    net.add("a", peers=(("127.4.4.4", 4),), fronts=2)
    net.run(net.now + 3)
    assert (
        net.detectors["a"].view(net.now).isolation_reason == "no word yet"
        and net.detectors["a"].view(net.now).fronts == 2
    )
    net.add("b", peers=(), fronts=2)
    net.detectors["a"].set_peers(net.now, (net.detectors["b"].identity.address,))
    settle(net)
    assert not net.detectors["a"].view(net.now).isolation_reason


def test_a_death_counts_only_once_it_is_sure():
    net = tier(5)
    net.kill("n1")
    net.run(net.now + 1.2)
    view = net.detectors["n0"].view(net.now)
    assert view.alive == 4 and view.fronts == 5
    net.run(net.now + 3)
    assert net.detectors["n0"].view(net.now).fronts == 4


def test_the_same_calls_give_the_same_sends():
    one, other = tier(6, seed=5, loss=0.2), tier(6, seed=5, loss=0.2)
    one.run(one.now + 5)
    other.run(other.now + 5)
    assert (one.sent, one.bytes, one.changes) == (other.sent, other.bytes, other.changes)


def test_the_order_of_hashes_decides_nothing():
    # Two processes given the same events must do the same; otherwise a run cannot be reproduced.
    code = (
        "from zlib import crc32\n"
        "from rigs.membership_model import Network\n"
        "net = Network(0, 0.2, check=True)\n"
        "names = [f'n{n}' for n in range(20)]\n"
        "[net.add(name, fronts=20) for name in names]\n"
        "net.known(names)\n"
        "changes = []\n"
        "net.changed = lambda name, change: changes.append((name, change))\n"
        "for first in range(6):\n"
        "    [net.stop(name) for name in names[first::3][:5]]\n"
        "    net.run(net.now + 0.6)\n"
        "    [net.resume(name) for name in list(net.stopped)]\n"
        "    net.run(net.now + 0.5)\n"
        "print(net.sent, net.bytes, crc32(repr(changes).encode()))"
    )
    outputs = [
        subprocess.run(
            [sys.executable, "-c", code],
            cwd=Path(__file__).parents[1],
            env=os.environ | {"PYTHONHASHSEED": seed},
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        for seed in ("0", "5")
    ]
    assert outputs[0] == outputs[1]


EVENTS = ("kill", "pause", "restart")


@pytest.mark.parametrize("event", EVENTS)
def test_every_way_in_which_a_few_datagrams_are_lost_or_late(event):
    """Three members; each of the next five datagrams is delivered, lost or half a second late, in every
    combination.
    """
    for outcomes in product("dl2", repeat=5):
        net = Network(2, 0.0)
        names = ["n0", "n1", "n2"]
        for name in names:
            net.add(name, peers=(), fronts=3)
        for name in names:
            net.detectors[name].discovery.peers = tuple(
                net.detectors[o].identity.address for o in names if o != name
            )
        net.known(names)
        net.run(net.now + 0.3)
        seen = {}
        if event == "pause":
            net.stop("n1")
            net.run(net.now + 0.7)
            net.resume("n1")
        else:
            net.kill("n1")
            if event == "restart":
                net.run(net.now + 0.2)
                net.add(
                    "n1",
                    peers=net.detectors["n0"].discovery.peers,
                    life=net.detectors["n1"].identity.life - 1,
                    fronts=3,
                )
        left = list(outcomes)

        def lossy(source, target, left=left, net=net):
            outcome = left.pop(0) if left else "d"
            lossy.late = outcome == "2"
            return outcome == "l"

        carry, net.cut = net.at, lossy

        def at(when, what, *facts, carry=carry, lossy=lossy):
            carry(when + 0.5 * (what == "datagram" and lossy.late), what, *facts)

        net.at = at
        for _ in range(18):
            net.run(net.now + 0.1)
            for name in net.running():
                for other, member in net.detectors[name].members.items():
                    key = name, net.detectors[name].identity.life, other
                    assert member.incarnation >= seen.get(key, 0), "an incarnation went back"
                    seen[key] = member.incarnation
        settle(net, 4.0)


class Tier(RuleBasedStateMachine):
    """Deaths, starts, pauses, broken links and losses in any order; afterwards all views agree."""

    def __init__(self):
        super().__init__()
        self.net = tier(5, seed=9)
        self.peers = tuple(j.identity.address for j in self.net.detectors.values())
        self.seen = {}

    @rule(seconds=st.sampled_from((0.05, 0.3, 1.0)))
    def time_passes(self, seconds):
        self.net.run(self.net.now + seconds)

    @precondition(lambda self: len(self.net.running()) > 2)
    @rule(place=st.integers(0, 4))
    def dies(self, place):
        if f"n{place}" in self.net.running():
            self.net.kill(f"n{place}")

    @rule(place=st.integers(0, 4), back=st.sampled_from((0, 0, 90)))
    def starts(self, place, back):
        if f"n{place}" in self.net.dead:
            self.net.add(f"n{place}", peers=self.peers, life=int(self.net.now * 8) - back, fronts=5)

    @precondition(lambda self: len(self.net.running()) > 2)
    @rule(place=st.integers(0, 4))
    def stops(self, place):
        if f"n{place}" in self.net.running():
            self.net.stop(f"n{place}")

    @rule()
    def go_on(self):
        for name in list(self.net.stopped):
            self.net.resume(name)

    @rule(
        pairs=st.sets(st.tuples(st.integers(0, 4), st.integers(0, 4)), max_size=5),
        loss=st.sampled_from((0.0, 0.2)),
    )
    def network(self, pairs, loss):
        cut = {(f"n{a}", f"n{b}") for a, b in pairs}
        self.net.cut, self.net.loss = lambda s, t: (s, t) in cut, loss

    @invariant()
    def incarnations_never_go_back(self):
        for name in self.net.running():
            detector = self.net.detectors[name]
            for other, member in detector.members.items():
                key = name, detector.identity.life, other
                assert member.incarnation >= self.seen.get(key, 0)
                self.seen[key] = member.incarnation
            assert detector.table.digest == digest(detector)

    def teardown(self):
        self.go_on()
        self.net.cut, self.net.loss = lambda s, t: False, 0.0
        settle(self.net, 15.0)


def digest(detector):
    """The digest of a view, computed from scratch."""
    from zlib import crc32

    found = 0
    for member in detector.members.values():
        if member.is_alive:
            found ^= crc32(b"%s %d" % (member.name.encode(), member.incarnation))
    return found


TestTier = Tier.TestCase
TestTier.settings = settings(
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
