"""Membership at sizes that processes don't reach: the same judgement under a virtual clock, seeded.

`python -m rigs.membership_model --seed 1 --members 300 --loss 0.2` kills members one after the other,
measures when all the living know, counts false deaths, and plays the plain ways beside ours: `swim` (no own
health, nobody sees for itself, no ring) and `heartbeats` (all to all).
"""

import json
from collections import defaultdict
from heapq import heappop, heappush
from itertools import count
from time import process_time

import click

from rigs.results import Chance, report_and_exit
from thistlelever.membership.config import MembershipConfig
from thistlelever.membership.failure_detector import FailureDetector
from thistlelever.membership.member import Member
from thistlelever.membership.types import Identity, TierSettings
from thistlelever.wire.peers import State, decode, decode_frame, encode, tag

TIER = tag("model")
# One way between two members, in seconds: of the platform's kind.
SHORT, LONG = 0.001, 0.02


class Swim(FailureDetector):
    """Without what departs from it: no own health, no ring, no witnesses, every death believed."""

    def __init__(self, *settings):
        super().__init__(*settings)
        self.table.order.next_in_ring = lambda probed, suspected: None
        self.health.worsen = lambda by: None

    def isolation_reason(self, now):
        return "" if self.joined else "no word yet"


class Network:
    """Carries datagrams between detectors: loses, delays, cuts one way, stops members."""

    def __init__(self, seed, loss, way=FailureDetector, terms=None, bursts=False, check=False):
        self.chance, self.loss, self.way, self.terms = Chance(seed), loss, way, terms or MembershipConfig()
        self.bursts, self.check, self.burst_till = bursts, check, {}
        self.now, self.queue, self.order = 1000.0, [], count()
        self.detectors, self.names, self.dead, self.stopped = {}, {}, set(), {}
        self.cut = lambda source, target: False
        self.sent, self.bytes, self.drawn, self.cpu = 0, 0, 0, 0.0
        # Deaths believed: (who believes, of whom) -> since when; each false one.
        self.held, self.false = {}, []
        self.paused_at, self.changes = defaultdict(lambda: -1e9), defaultdict(list)
        self.waits = defaultdict(list)

    def share(self):
        self.drawn += 1
        return self.chance.share("net", self.drawn)

    def add(self, name, peers=None, life=None, fronts=0):
        high, low = divmod(len(self.names), 250)
        address = (f"127.1.{high}.{low}", 7946)
        if name in self.detectors:
            address = self.detectors[name].identity.address
        self.names[address] = name
        life = life if life is not None else int(self.now * 8)
        me = Identity(name, address, life)
        known = peers if peers is not None else [j.identity.address for j in self.detectors.values()][:8]
        seed = self.chance.below(2**31, name, life)
        self.detectors[name] = self.way(self.terms, me, TierSettings(tuple(known), fronts), seed, self.now)
        self.dead.discard(name)
        self.at(
            self.now + self.terms.period * self.chance.share("start", name),
            "turn",
            name,
            self.detectors[name],
        )
        return self.detectors[name]

    def at(self, when, what, *facts):
        heappush(self.queue, (when, next(self.order), what, facts))

    def known(self, names, life=0):
        """As if all had met long ago, for sizes at which a start takes long."""
        for name in names:
            me = self.detectors[name]
            me.joined, me.health.answered_at = True, self.now
            for other in names:
                if other != name:
                    o = self.detectors[other].identity
                    member = Member(other, o.address, o.life, o.life, self.now)
                    me.table.add(self.now, member, name, "list")
            me.changes.clear()

    def run(self, till):
        while self.queue and self.queue[0][0] <= till:
            self.now, _, what, facts = heappop(self.queue)
            getattr(self, "do_" + what)(*facts)
        self.now = till

    def do_call(self, work):
        work()

    def do_turn(self, name, detector):
        if self.detectors.get(name) is not detector or name in self.dead:
            return
        if name in self.stopped:
            self.waits[name].append(("turn", (name, detector)))
            return
        begun = process_time()
        if detector.check_for_pause(self.now):
            # As the carrier does: what waited at the socket is dropped.
            self.waits.pop((name, "old"), None)
        for source, data in self.waits.pop((name, "old"), ()):
            self.hand(name, detector, source, data)
        sends = detector.tick(self.now)
        self.cpu += process_time() - begun
        self.carry(name, detector, sends)
        self.at(max(detector.next_tick_at(), self.now + 1e-4), "turn", name, detector)

    def do_datagram(self, source, name, data):
        detector = self.detectors.get(name)
        if detector is None or name in self.dead:
            return
        if name in self.stopped:
            self.waits[name, "old"].append((source, data))
            return
        self.hand(name, detector, source, data)

    def hand(self, name, detector, source, data):
        begun = process_time()
        message, updates = decode(decode_frame(data, TIER)[1]) if self.check else data
        sends = detector.handle_message(self.now, source, message, updates)
        self.cpu += process_time() - begun
        self.carry(name, detector, sends)

    def lost(self, source, target):
        if not self.bursts:
            return self.share() < self.loss
        # In bursts: a pair is out for 0.3 s at a time, as often as makes the same share.
        pair = source, target
        if self.burst_till.get(pair, 0.0) > self.now:
            return True
        if self.share() < self.loss * 0.1:
            self.burst_till[pair] = self.now + 0.3
            return True
        return False

    def carry(self, name, detector, sends):
        for change in detector.changes:
            self.changed(name, change)
        detector.changes.clear()
        for send in sends:
            data = encode(send.message, TIER)
            self.sent += 1
            self.bytes += len(data)
            target = self.names.get(send.address)
            if target is None or self.cut(name, target) or self.loss and self.lost(name, target):
                continue
            if not self.check:
                # Bytes were counted; decoding them again would only take time.
                data = decode(decode_frame(data, TIER)[1])
            delay = SHORT + (LONG - SHORT) * self.share() ** 3
            self.at(self.now + delay, "datagram", detector.identity.address, target, data)

    def changed(self, name, change):
        if change.name not in self.detectors or change.name == name:
            return
        self.changes[change.name].append((change.at, name, change.state, change.by, change.path))
        if change.state is State.DEAD:
            self.held[name, change.name] = change.at
            lives = change.name not in self.dead and change.name not in self.stopped
            if lives and self.now - self.paused_at[change.name] > 2.0:
                self.false.append((self.now, name, change.name, change.by, change.path))
        else:
            self.held.pop((name, change.name), None)

    def kill(self, name):
        self.dead.add(name)

    def stop(self, name):
        self.stopped[name] = self.now

    def go_on(self, name):
        del self.stopped[name]
        self.paused_at[name] = self.now
        for what, facts in self.waits.pop(name, []):
            self.at(self.now, what, *facts)

    def living(self):
        return [n for n in self.detectors if n not in self.dead and n not in self.stopped]

    def agree(self):
        """Whether all the living hold just the living for alive."""
        living = set(self.living())
        return all(
            {m.name for m in self.detectors[n].members.values() if m.is_alive} == living - {n} for n in living
        )


class Heartbeats:
    """The plain way: each tells all, each period, that it is alive; silence for a fixed time is death."""

    def __init__(self, members, loss, seed, period, silence):
        self.members, self.loss, self.period, self.silence = members, loss, period, silence
        self.chance, self.drawn = Chance(seed), 0

    def play(self, seconds, deaths):
        """Times to know of each death, by each of the living, and false deaths; sampled for pairs."""
        false, times = 0, []
        beats = int(seconds / self.period)
        for pair in range(min(self.members * (self.members - 1), 4000)):
            last, held = 0.0, False
            for beat in range(1, beats):
                at = beat * self.period
                if self.chance.share("beat", pair, beat) >= self.loss:
                    last, held = at, False
                elif at - last > self.silence and not held:
                    false, held = false + 1, True
        pairs = min(self.members * (self.members - 1), 4000)
        for death in range(deaths):
            missed = 0
            while self.chance.share("last", death, missed) < self.loss:
                missed += 1
            phase = self.chance.share("phase", death)
            times.append(self.silence - missed * self.period + self.period * phase)
        scale = self.members * (self.members - 1) / pairs
        return times, false * scale / seconds * 3600


def figures(times):
    times = sorted(times)
    if not times:
        return {}
    return {"p50": round(times[len(times) // 2], 3), "p99": round(times[int(len(times) * 0.99)], 3)}


def measure(way, members, loss, seconds, deaths, seed, bursts=False, pauses=False, terms=None):
    net = Network(seed, loss, way, terms, bursts)
    names = [f"n{i}" for i in range(members)]
    for name in names:
        net.add(name, fronts=members, peers=())
    for name in names:
        net.detectors[name].discovery.peers = tuple(
            net.detectors[o].identity.address for o in names[:8] if o != name
        )
    net.known(names)
    net.run(net.now + 2.0)
    net.sent = net.bytes = 0
    net.cpu, begun = 0.0, net.now
    known, missed = [], 0
    every = seconds / (deaths + 1) if deaths else seconds
    for death in range(deaths):
        net.run(begun + every * (death + 1) - every + net.chance.share("when", death) * 0.2 * every)
        victim = names[net.chance.below(len(names), "victim", death)]
        while victim in net.dead:
            victim = names[(names.index(victim) + 1) % len(names)]
        if pauses and death % 2:
            net.stop(victim)
            net.at(net.now + (0.3, 1.0, 3.0)[death % 3], "call", lambda v=victim: net.go_on(v))
            continue
        net.kill(victim)
        at = net.now
        net.run(begun + every * (death + 1))
        for name in net.living():
            held = net.held.get((name, victim))
            if held is None:
                missed += 1
            else:
                known.append(held - at)
    net.run(begun + seconds)
    took = net.now - begun
    return {
        "detect_s": figures(known),
        "missed": missed,
        "false_deaths": len(net.false),
        "false_deaths_an_hour": round(len(net.false) / took * 3600, 1),
        "bytes_a_member_s": round(net.bytes / members / took),
        "sends_a_member_s": round(net.sent / members / took, 1),
        "cpu_ms_a_member_s": round(net.cpu / members / took * 1e3, 2),
        "why": net.false[:3],
    }


@click.command()
@click.option("--seed", default=1)
@click.option("--members", default=30)
@click.option("--loss", default=0.2)
@click.option("--seconds", default=30.0)
@click.option("--deaths", default=5)
@click.option("--bursts", is_flag=True)
@click.option("--pauses", is_flag=True)
def main(seed, members, loss, seconds, deaths, bursts, pauses):
    if deaths >= members - 1:
        raise click.UsageError("--deaths: two members at least must live to the end")
    found = {"ours": measure(FailureDetector, members, loss, seconds, deaths, seed, bursts, pauses)}
    plain = MembershipConfig(verifiers=0)
    found["swim"] = measure(Swim, members, loss, seconds, deaths, seed, bursts, pauses, plain)
    times, false = Heartbeats(members, loss, seed, 0.1, 1.0).play(seconds, deaths * 20)
    found["heartbeats"] = {
        "detect_s": figures(times),
        "false_deaths_an_hour": round(false, 1),
        "bytes_a_member_s": round((members - 1) * 60 / 0.1),
    }
    for way, told in found.items():
        print(json.dumps({"way": way, **told}))
    broken = []
    if found["ours"]["false_deaths"]:
        broken.append("a live member was held dead")
    if found["ours"]["missed"]:
        broken.append("a death was not known to all")
    report_and_exit("membership_model", seed, broken, {"members": members, "loss": loss, **found["ours"]})


if __name__ == "__main__":
    main()
