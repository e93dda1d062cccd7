"""Simulates membership at sizes beyond real processes: the fronts' failure detector under a virtual clock.

`python -m rigs.membership_model --seed 1 --members 300 --loss 0.2` kills members one after the other,
measures when all running members know, and counts false deaths. It compares two simpler protocols: `swim`
(no local health, no verification by other members, no ring) and `heartbeats` (all to all).
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
# Shortest and longest one-way delay between two members.
MIN_DELAY_S, MAX_DELAY_S = 0.001, 0.02


class Swim(FailureDetector):
    """Plain SWIM: no local health, no ring order of probes; every reported death is accepted unverified."""

    def __init__(self, *settings):
        super().__init__(*settings)
        self.table.order.next_in_ring = lambda probed, suspected: None
        self.health.worsen = lambda by: None

    def isolation_reason(self, now):
        return "" if self.joined else "no word yet"


class Network:
    """A simulated network of failure detectors: loss, delay, one-way cuts, stopped and killed members.

    `loss` is a probability, `now` the virtual time in seconds. With `bursts` losses come in bursts per pair;
    with `check` datagrams are decoded from their bytes on delivery.
    """

    def __init__(self, seed, loss, detector_class=FailureDetector, config=None, bursts=False, check=False):
        self.chance, self.loss = Chance(seed), loss
        self.detector_class, self.config = detector_class, config or MembershipConfig()
        self.bursts, self.check, self.burst_till = bursts, check, {}
        self.now, self.queue, self.order = 1000.0, [], count()
        self.detectors, self.names, self.dead, self.stopped = {}, {}, set(), {}
        self.cut = lambda source, target: False
        self.sent, self.bytes, self.drawn, self.cpu = 0, 0, 0, 0.0
        # (observer, member) -> since when the observer has the member as dead; and each false death.
        self.dead_views, self.false_deaths = {}, []
        self.paused_at, self.changes = defaultdict(lambda: -1e9), defaultdict(list)
        self.waits = defaultdict(list)

    def share(self):
        """Returns the next random number of the run, from 0 to 1."""
        self.drawn += 1
        return self.chance.share("net", self.drawn)

    def add(self, name, peers=None, life=None, fronts=0):
        """Adds or restarts a member; `peers` are the addresses it knows. Returns its detector."""
        high, low = divmod(len(self.names), 250)
        address = (f"127.1.{high}.{low}", 7946)
        if name in self.detectors:
            address = self.detectors[name].identity.address
        self.names[address] = name
        life = life if life is not None else int(self.now * 8)
        me = Identity(name, address, life)
        known = peers if peers is not None else [j.identity.address for j in self.detectors.values()][:8]
        seed = self.chance.below(2**31, name, life)
        self.detectors[name] = self.detector_class(
            self.config, me, TierSettings(tuple(known), fronts), seed, self.now
        )
        self.dead.discard(name)
        self.at(
            self.now + self.config.period * self.chance.share("start", name),
            "turn",
            name,
            self.detectors[name],
        )
        return self.detectors[name]

    def at(self, when, what, *facts):
        """Schedules `do_<what>(*facts)` at a virtual time."""
        heappush(self.queue, (when, next(self.order), what, facts))

    def known(self, names, life=0):
        """Makes all members known to each other, as a regular start takes long at large sizes."""
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
        """Executes all events up to a virtual time."""
        while self.queue and self.queue[0][0] <= till:
            self.now, _, what, facts = heappop(self.queue)
            getattr(self, "do_" + what)(*facts)
        self.now = till

    def do_call(self, work):
        """Event: calls a function."""
        work()

    def do_turn(self, name, detector):
        """Event: the next tick of a detector; deferred while its member is stopped."""
        if self.detectors.get(name) is not detector or name in self.dead:
            return
        if name in self.stopped:
            self.waits[name].append(("turn", (name, detector)))
            return
        begun = process_time()
        if detector.check_for_pause(self.now):
            # As in the front: datagrams that queued at the socket during a pause are dropped.
            self.waits.pop((name, "old"), None)
        for source, data in self.waits.pop((name, "old"), ()):
            self.deliver(name, detector, source, data)
        sends = detector.tick(self.now)
        self.cpu += process_time() - begun
        self.carry(name, detector, sends)
        self.at(max(detector.next_tick_at(), self.now + 1e-4), "turn", name, detector)

    def do_datagram(self, source, name, data):
        """Event: a datagram arrives; queued while its receiver is stopped."""
        detector = self.detectors.get(name)
        if detector is None or name in self.dead:
            return
        if name in self.stopped:
            self.waits[name, "old"].append((source, data))
            return
        self.deliver(name, detector, source, data)

    def deliver(self, name, detector, source, data):
        """Hands a datagram to a detector and sends its replies."""
        begun = process_time()
        message, updates = decode(decode_frame(data, TIER)[1]) if self.check else data
        sends = detector.handle_message(self.now, source, message, updates)
        self.cpu += process_time() - begun
        self.carry(name, detector, sends)

    def lost(self, source, target):
        """Draws whether a datagram is lost."""
        if not self.bursts:
            return self.share() < self.loss
        # A burst cuts a pair for 0.3 s; bursts start at a tenth of the rate of single losses.
        pair = source, target
        if self.burst_till.get(pair, 0.0) > self.now:
            return True
        if self.share() < self.loss * 0.1:
            self.burst_till[pair] = self.now + 0.3
            return True
        return False

    def carry(self, name, detector, sends):
        """Records the changes in a detector's view and schedules the delivery of its datagrams."""
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
                # The encoded size has been counted; `deliver` then need not decode.
                data = decode(decode_frame(data, TIER)[1])
            delay = MIN_DELAY_S + (MAX_DELAY_S - MIN_DELAY_S) * self.share() ** 3
            self.at(self.now + delay, "datagram", detector.identity.address, target, data)

    def changed(self, name, change):
        """Records a change of state in one view, and whether it is a false death."""
        if change.name not in self.detectors or change.name == name:
            return
        self.changes[change.name].append((change.at, name, change.state, change.by, change.path))
        if change.state is State.DEAD:
            self.dead_views[name, change.name] = change.at
            is_running = change.name not in self.dead and change.name not in self.stopped
            if is_running and self.now - self.paused_at[change.name] > 2.0:
                self.false_deaths.append((self.now, name, change.name, change.by, change.path))
        else:
            self.dead_views.pop((name, change.name), None)

    def kill(self, name):
        """Ends a member without notice."""
        self.dead.add(name)

    def stop(self, name):
        """Pauses a member."""
        self.stopped[name] = self.now

    def resume(self, name):
        """Continues a paused member and its deferred events."""
        del self.stopped[name]
        self.paused_at[name] = self.now
        for what, facts in self.waits.pop(name, []):
            self.at(self.now, what, *facts)

    def running(self):
        """Returns the names of all members that are neither dead nor paused."""
        return [n for n in self.detectors if n not in self.dead and n not in self.stopped]

    def agree(self):
        """Whether each running member has exactly the running members as alive."""
        running = set(self.running())
        return all(
            {m.name for m in self.detectors[n].members.values() if m.is_alive} == running - {n}
            for n in running
        )


class Heartbeats:
    """All-to-all heartbeats: each member sends to all each period; a fixed silence counts as death."""

    def __init__(self, members, loss, seed, period, silence):
        self.members, self.loss, self.period, self.silence = members, loss, period, silence
        self.chance, self.drawn = Chance(seed), 0

    def play(self, seconds, deaths):
        """Returns detection times in seconds and false deaths per hour, from a sample of pairs."""
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


def percentiles(times):
    """Returns median and 99th percentile; empty for no times."""
    times = sorted(times)
    if not times:
        return {}
    return {"p50": round(times[len(times) // 2], 3), "p99": round(times[int(len(times) * 0.99)], 3)}


def measure(detector_class, members, loss, seconds, deaths, seed, bursts=False, pauses=False, config=None):
    """Simulates kills (and, with `pauses`, every second time a pause) and returns the figures."""
    net = Network(seed, loss, detector_class, config, bursts)
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
            net.at(net.now + (0.3, 1.0, 3.0)[death % 3], "call", lambda v=victim: net.resume(v))
            continue
        net.kill(victim)
        at = net.now
        net.run(begun + every * (death + 1))
        for name in net.running():
            dead_since = net.dead_views.get((name, victim))
            if dead_since is None:
                missed += 1
            else:
                known.append(dead_since - at)
    net.run(begun + seconds)
    took = net.now - begun
    return {
        "detect_s": percentiles(known),
        "missed": missed,
        "false_deaths": len(net.false_deaths),
        "false_deaths_an_hour": round(len(net.false_deaths) / took * 3600, 1),
        "bytes_a_member_s": round(net.bytes / members / took),
        "sends_a_member_s": round(net.sent / members / took, 1),
        "cpu_ms_a_member_s": round(net.cpu / members / took * 1e3, 2),
        "why": net.false_deaths[:3],
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
        "detect_s": percentiles(times),
        "false_deaths_an_hour": round(false, 1),
        "bytes_a_member_s": round((members - 1) * 60 / 0.1),
    }
    for way, result in found.items():
        print(json.dumps({"way": way, **result}))
    broken = []
    if found["ours"]["false_deaths"]:
        broken.append("a live member was held dead")
    if found["ours"]["missed"]:
        broken.append("a death was not known to all")
    report_and_exit("membership_model", seed, broken, {"members": members, "loss": loss, **found["ours"]})


if __name__ == "__main__":
    main()
