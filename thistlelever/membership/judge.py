"""Who is alive: probes in rounds, by way of others where there is no answer, a suspicion before each death,
and this front's own health before all.

    judge = Judge(terms, me, peers, fronts, seed, now)
    sends = judge.turn(now)                        # whenever `due` has come
    sends = judge.heard(now, address, message, rumours)
    view = judge.view(now)

Follows SWIM (Das, Gupta, Motivala 2002) and Lifeguard (Dadgar, Phillips, Currey 2018); what departs from them
is named where it acts and weighed in `docs/membership.md`. Times are seconds of a clock that never goes back.
The same calls give the same sends: chance comes from the seed and a counter.
"""

from __future__ import annotations

from bisect import bisect_right, insort
from collections import Counter
from heapq import nsmallest
from math import log, log2, log10
from zlib import crc32

from msgspec import structs

from thistlelever.membership.facts import STORY, Address, Change, Member, Self, Send, Terms, View, fresh
from thistlelever.membership.rumours import MOST_A_FRAME, Rumours
from thistlelever.wire.peers import (
    ROOM,
    Kind,
    Message,
    Rumour,
    State,
    address_bytes,
    address_of,
    packed,
    size,
    tag,
)

# How often a rumour is sent: so many times the logarithm of the tier's size.
TIMES = 3
# The score of own health, 0 to this; each point makes this front half as patient again.
WORST = 8
# A member that was suspected and refuted it lately is given longer, up to so many times.
MOST_PATIENCE = 4
REFUTALS_WITHIN = 60.0
# How often a probe without an answer is tried again, straight and by way of others, before it has failed.
TRIES = 2
# How many addresses that were never met are pinged in a round at a start.
MEET = 8
# A list is asked for again after this, so often, and no sooner than this where views only differ.
PULL_WITHIN, PULL_TRIES, QUIET = 0.15, 6, 1.0
# An answer that comes so long after it was given up still says that its sender lives.
LATE = 1.0
# Word of a twin, and of one's own fitness, goes out this often at most.
SELDOM = 1.0


class Probe:
    """A ping that is out: for this front's own sake, or for another's that asked."""

    __slots__ = ("name", "at", "due", "tries", "asked", "nacks", "other", "nonce")

    def __init__(self, name: str, at: float, due: float) -> None:
        self.name, self.at, self.due, self.tries, self.asked, self.nacks = name, at, due, 0, 0, 0
        self.other: Address | None = None
        self.nonce = 0


def trace(name: str, incarnation: int) -> int:
    """What one living member adds to the digest of a view."""
    return crc32(b"%s %d" % (name.encode(), incarnation))


class Judge:
    """The beliefs of one front about its tier."""

    def __init__(
        self, terms: Terms, me: Self, peers: tuple[Address, ...], fronts: int, seed: int, now: float
    ) -> None:
        self.terms, self.me, self.settings_fronts, self.seed = terms, me, fronts, seed
        self.incarnation, self.state, self.tag = me.life, State.ALIVE, tag(me.name)
        self.peers = tuple(a for a in peers if a != me.address)
        self.members: dict[str, Member] = {}
        self.at: dict[Address, str] = {}
        # The living by the hash of their names: each is the next one's to probe in every round.
        self.ring: list[tuple[int, str]] = []
        self.rumours, self.counts, self.changes = Rumours(), Counter(), []
        self.draws, self.count, self.nonces = 0, 0, 0
        self.probes: dict[int, Probe] = {}
        # Pings that no probe waits for: to who is not known, and those that were given up a moment ago.
        self.loose: dict[int, float] = {}
        self.round_at, self.knock_at, self.turned_at = now, now, now
        self.order: list[str] = []
        self.knocks, self.meeting = 0, 0
        self.doubted: set[str] = set()
        # Own health: the score, when anybody last answered, how many probes went out since.
        self.score, self.answered_at, self.unanswered = 0, -1e9, 0
        self.joined, self.stale, self.twin, self.was_alone = False, False, "", "no word yet"
        self.twin_nonce, self.twin_at, self.fit_at = 0, -1e9, -1e9
        # A list that is being asked for: of whom, from where on, when again, how often.
        self.pull: tuple[Address, str, float, int] | None = None
        self.changed_at, self.digest = now, 0
        self.lateness = 0.0
        self.sends: list[Send] = []

    # What it is told.

    def awake(self, now: float) -> bool:
        """Called before anything else of a moment. Whether the front was held up: then what waits at its
        socket is old and must not be heard."""
        gap, self.turned_at = now - self.turned_at, now
        late = gap - self.terms.period
        self.lateness = max(late, 0.0)
        if gap <= self.terms.held_up:
            if late > self.terms.period / 2:
                # Risk: answers wait at the socket while the loop was held up; nobody is accused for that.
                self.worse(1)
                self.put_off(late)
            return False
        self.counts["held up"] += 1
        self.worse(2)
        self.put_off(gap)
        self.probes.clear()
        self.pull = None
        self.withdraw(now)
        # Nothing that was believed is acted on until somebody's whole list was read.
        self.stale = self.joined
        self.answered_at, self.unanswered = now, 0
        return True

    def put_off(self, by: float) -> None:
        for probe in self.probes.values():
            probe.due += by
        for name in self.doubted:
            self.members[name].until += by

    def turn(self, now: float) -> list[Send]:
        """What is due by now. The carrier has handed on all that came before."""
        self.sends = []
        if self.twin:
            return []
        alone = self.alone(now)
        if alone != self.was_alone:
            self.note(now, self.me.name, self.state, None, "itself", alone or "together", self.lateness)
            if alone:
                self.withdraw(now)
            self.was_alone = alone
        self.look_at_probes(now)
        self.look_at_doubts(now, alone)
        if now >= self.round_at:
            # Rounds missed are not made up for.
            self.round_at = max(self.round_at + self.terms.period, now + self.terms.period / 2)
            self.round(now)
        if now >= self.knock_at:
            self.knock_at = now + self.terms.knock
            self.knock(now)
            self.forget(now)
            self.loose = {nonce: at for nonce, at in self.loose.items() if now - at < LATE}
        if self.pull and now >= self.pull[2]:
            self.ask_list(now, *self.pull[:2], self.pull[3] + 1)
        return self.sends

    def due(self) -> float:
        """When the next turn is."""
        if self.twin:
            return self.turned_at + SELDOM
        return min(self.round_at, min((p.due for p in self.probes.values()), default=self.round_at))

    def heard(self, now: float, source: Address, message: Message, rumours: tuple[Rumour, ...]) -> list[Send]:
        """A datagram of this tier, in form."""
        self.sends = []
        if self.twin:
            return []
        if message.name == self.me.name:
            self.namesake(now, source, message)
            return self.sends
        member = self.members.get(message.name)
        if member and message.life != member.life and message.incarnation <= member.incarnation:
            # Risk: what a former life sent late passes for word of the present one.
            self.counts["of a former life"] += 1
            if message.kind is Kind.PING:
                # Risk: one that was started again with its clock set back never learns what to outbid.
                self.send_to(now, source, Kind.ACK, message.nonce, first=self.word(member))
            return self.sends
        if member and message.life == member.life and not fresh(member, message.count):
            self.counts["replayed or too late"] += 1
            return self.sends
        # Risk: one that leaves and still answers is asked for its list by each answer to that.
        returned = member is not None and member.state is State.DEAD
        self.present(now, source, message)
        member = self.members.get(message.name)
        if member is None:
            self.counts["past the bound"] += 1
            return self.sends
        for rumour in rumours:
            self.learn(now, rumour, message.name)
        match message.kind:
            case Kind.PING:
                self.send(now, member, Kind.ACK, message.nonce, to=source)
            case Kind.ACK:
                self.acknowledged(now, member, message)
            case Kind.ASK:
                self.ask_for(now, source, message)
            case Kind.NACK:
                if probe := self.probes.get(message.nonce):
                    probe.nacks += 1
            case Kind.LIST_ASK:
                self.give_list(now, member, message)
            case Kind.LIST:
                self.take_list(now, source, message)
        self.compare(now, source, message, returned)
        return self.sends

    def fitness(self, now: float, serves: bool) -> None:
        """Whether this front serves whom it takes; its own word, told to all."""
        state = State.ALIVE if serves else State.UNFIT
        if (
            self.state in (State.ALIVE, State.UNFIT)
            and state is not self.state
            and (now - self.fit_at >= SELDOM)
        ):
            self.state, self.fit_at = state, now
            self.announce(now, self.incarnation + 1)
            self.note(
                now, self.me.name, state, None, "itself", "serves nobody" if not serves else "serves", 0.0
            )

    def leave(self, now: float) -> list[Send]:
        """SIGTERM: said at once to as many as it takes for all to hear."""
        self.sends, self.state = [], State.LEFT
        self.announce(now, self.incarnation)
        living = [m for m in self.members.values() if m.lives]
        for _ in range(min(len(living), self.times())):
            member = living.pop(self.below(len(living)))
            self.send(now, member, Kind.PING, self.nonce())
        return self.sends

    def renew(self, now: float, peers: tuple[Address, ...]) -> None:
        """Another list of peers: new ones are met at once, old ones live on as long as they answer."""
        self.peers = tuple(a for a in peers if a != self.me.address)
        self.knock_at = min(self.knock_at, now)

    # What it tells.

    def alone(self, now: float) -> str:
        """Why nothing that this front believes of others may be acted on, or nothing."""
        if self.twin:
            return f"another process under this name, at {self.twin}, started later"
        if not self.peers and not self.members:
            return "no peers"
        if not self.joined:
            return "no word yet"
        # Risk: patience grows just while nobody answers, and who is cut off must know it before it holds
        # others dead.
        if self.unanswered >= 3 and now - self.answered_at > self.terms.deaf * min(self.patience(), 1.5):
            return "nobody answers"
        return "held up, view not renewed" if self.stale else ""

    def view(self, now: float) -> View:
        alone = self.alone(now)
        lives = [m for m in self.members.values() if m.lives]
        # Risk: a share grows by a death that is taken back a moment later.
        late = sum(m.state is State.DEAD and now - m.since < self.terms.sure for m in self.members.values())
        alive = 1 + len(lives)
        return View(
            alone,
            self.settings_fronts if alone else alive + late,
            alive,
            sum(m.state is State.SUSPECTED for m in lives),
            sum(m.state is State.UNFIT for m in lives) + (self.state is State.UNFIT),
        )

    # Rounds.

    def round(self, now: float) -> None:
        """Two probes: of the next in the ring, so that each member is probed in each round by who stands
        before it, and of another in an order drawn anew each time (SWIM's bound on how long one is missed).
        Nobody is probed twice at once."""
        if not self.joined or len(self.members) < len(self.peers):
            for _ in range(min(MEET, len(self.peers))):
                self.meeting += 1
                address = self.peers[self.meeting % len(self.peers)]
                if address not in self.at:
                    self.ping_address(now, address)
        out = {p.name for p in self.probes.values() if p.other is None}
        for member in (self.next_in_ring(out), self.next_in_order(out)):
            if member and member.name not in out:
                out.add(member.name)
                self.probe(now, member)

    def next_in_ring(self, out: set[str]) -> Member | None:
        if not self.ring:
            return None
        place = bisect_right(self.ring, (self.tag, self.me.name))
        for step in range(min(len(self.ring), 4)):
            _, name = self.ring[(place + step) % len(self.ring)]
            # Risk: in a mass death the one before it is dead too; who is in doubt is passed over.
            if name not in out and name not in self.doubted:
                return self.members[name]
        return None

    def next_in_order(self, out: set[str]) -> Member | None:
        for _ in range(2):
            while self.order:
                member = self.members.get(self.order.pop())
                if member and member.lives and member.name not in out:
                    return member
            names = [name for _, name in self.ring]
            # Fisher and Yates, from the one source of chance.
            for i in range(len(names) - 1, 0, -1):
                j = self.below(i + 1)
                names[i], names[j] = names[j], names[i]
            self.order = names
        return None

    def probe(self, now: float, member: Member) -> None:
        nonce = self.nonce()
        self.probes[nonce] = Probe(member.name, now, now + self.terms.answer * self.patience())
        self.unanswered += 1
        self.send(now, member, Kind.PING, nonce)

    def look_at_probes(self, now: float) -> None:
        for nonce, probe in [(n, p) for n, p in self.probes.items() if p.due <= now]:
            member = self.members.get(probe.name)
            if probe.other is not None:
                del self.probes[nonce]
                helped = self.members.get(self.at.get(probe.other, ""))
                if helped:
                    self.send(now, helped, Kind.NACK, probe.nonce, place=probe.name, to=probe.other)
            elif member is None or not member.lives:
                del self.probes[nonce]
            elif probe.tries < TRIES:
                probe.tries += 1
                probe.asked += self.ask_others(now, nonce, member)
                # And once more straight: of all that fails, a single loss is the likeliest.
                self.send(now, member, Kind.PING, nonce)
                probe.due = now + self.terms.detour / (1 if probe.tries == TRIES else 2) * self.patience()
            else:
                del self.probes[nonce]
                self.loose[nonce] = now
                self.failed(now, member, probe)

    def ask_others(self, now: float, nonce: int, member: Member) -> int:
        """How many were asked to try for this front: a broken link between two is nobody's death."""
        names = [n for _, n in self.ring if n != member.name and n not in self.doubted]
        most = min(self.terms.helpers, len(names))
        for _ in range(most):
            helper = self.members[names.pop(self.below(len(names)))]
            self.send(now, helper, Kind.ASK, nonce, place=member.name)
        return most

    def failed(self, now: float, member: Member, probe: Probe) -> None:
        self.counts["probes failed"] += 1
        # Those asked owe word either way: where none comes, it is this front that nothing reaches.
        if probe.asked and not probe.nacks:
            self.worse(1)
        if self.alone(now) or self.patience() > 1 and probe.asked and not probe.nacks:
            return
        self.accuse(
            now,
            member,
            self.tag,
            self.me.name,
            f"no answer in {now - probe.at:.3f} s, nor to {probe.asked} others ({probe.nacks} said so)",
        )

    def ask_for(self, now: float, source: Address, message: Message) -> None:
        """Another has no answer from a member: try for it."""
        member = self.members.get(message.place)
        if member is None or len(self.probes) > 4 * self.terms.witnesses + 64:
            self.counts["asked for what can't be tried"] += 1
            return
        nonce = self.nonce()
        probe = self.probes[nonce] = Probe(member.name, now, now + self.terms.answer)
        probe.other, probe.nonce = source, message.nonce
        self.send(now, member, Kind.PING, nonce)

    def acknowledged(self, now: float, member: Member, message: Message) -> None:
        if self.twin_nonce and message.nonce == self.twin_nonce:
            return
        probe = self.probes.get(message.nonce)
        if probe is None or probe.name not in (message.name, message.place):
            # To a ping of who was not known, or late by a moment; later it says nothing of now.
            if now - self.loose.pop(message.nonce, -1e9) < LATE and not message.place:
                self.answers(now, member)
            return
        del self.probes[message.nonce]
        if probe.other is not None:
            helped = self.members.get(self.at.get(probe.other, ""))
            if helped:
                self.send(now, helped, Kind.ACK, probe.nonce, place=probe.name, to=probe.other)
            member.heard_at = now
            return
        self.counts["probes answered" if not message.place else "probes answered by way of others"] += 1
        self.better()
        self.answers(now, member)
        if target := self.members.get(probe.name):
            target.heard_at = now

    def answers(self, now: float, member: Member) -> None:
        """Somebody heard this front and said so: it is not alone."""
        member.heard_at = self.answered_at = now
        self.unanswered = 0
        if not self.joined:
            self.joined = True
            self.ask_list(now, member.address, "", 0)

    # Doubts and deaths.

    def accuse(self, now: float, member: Member, accuser: int, by: str, path: str) -> None:
        """One more accuser; the first begins a suspicion."""
        if member.state not in (State.ALIVE, State.UNFIT, State.SUSPECTED) or accuser in member.accusers:
            return
        if member.state is not State.SUSPECTED:
            member.accusers = frozenset((accuser,))
            self.believe(now, member, State.SUSPECTED, by, path)
            self.doubted.add(member.name)
            member.until = now + self.lasts(member)
            if by != self.me.name and self.below(len(self.ring) or 1) < self.terms.witnesses:
                # Not in SWIM: some of those that hear of a suspicion see for themselves. Each is one more
                # way for the refutation to get out, and one more accuser where there is none.
                self.probe(now, member)
        elif len(member.accusers) < self.terms.accusers:
            before = self.lasts(member)
            member.accusers |= {accuser}
            member.until -= before - self.lasts(member)
        else:
            return
        self.rumours.tell(self.word(member, accuser))

    def lasts(self, member: Member) -> float:
        """How long it has to refute: longer in a larger tier, where word takes longer (SWIM), shorter with
        each further accuser (Lifeguard), longer for who refuted lately: a bound on how often one flaps."""
        most = self.terms.suspect * max(1.0, log10(len(self.ring) + 2)) * self.patience()
        part = log(len(member.accusers)) / log(self.terms.accusers) if len(member.accusers) > 1 else 0.0
        return most * (1 - part / 2) * min(1 + len(member.refutals), MOST_PATIENCE)

    def look_at_doubts(self, now: float, alone: str) -> None:
        for name in [n for n in self.doubted if self.members[n].until <= now]:
            member = self.members[name]
            if alone:
                member.until = now + self.lasts(member)
            elif member.heard_at > member.since:
                # Departs from SWIM: nobody takes for dead whom it has itself heard since the doubt began.
                self.counts["doubts that an answer put off"] += 1
                member.since, member.until = now, now + self.lasts(member)
                self.probe(now, member)
            else:
                self.believe(now, member, State.DEAD, self.me.name, f"{len(member.accusers)} accusers")
                self.rumours.tell(self.word(member))

    def withdraw(self, now: float) -> None:
        """Take back what this front alone holds against others: it was not in a state to tell."""
        for name in list(self.doubted):
            member = self.members[name]
            if member.accusers == {self.tag}:
                self.rumours.drop(name)
                self.believe(now, member, State.ALIVE, self.me.name, "withdrawn: own health")

    # Own health.

    def patience(self) -> float:
        return 1 + self.score / 2

    def worse(self, by: int) -> None:
        self.score = min(self.score + by, WORST)

    def better(self) -> None:
        self.score = max(self.score - 1, 0)

    # What is said.

    def learn(self, now: float, rumour: Rumour, by: str) -> None:
        """A rumour, weighed: a newer incarnation, or worse of the same, replaces what was believed."""
        if rumour.name == self.me.name:
            self.about_me(now, rumour)
            return
        member = self.members.get(rumour.name)
        if member is None:
            if rumour.state in (State.DEAD, State.LEFT) or len(self.members) >= self.terms.most:
                return
            member = self.met(
                now, rumour.name, address_of(rumour.address), rumour.incarnation, rumour.life, by, "rumour"
            )
            self.rumours.tell(self.word(member))
            if rumour.state is State.ALIVE:
                return
        if rumour.incarnation < member.incarnation:
            self.counts["old rumours"] += 1
            return
        newer = rumour.incarnation > member.incarnation
        if newer or rumour.state > member.state:
            self.replace(now, member, rumour, newer, by)
        elif rumour.state is State.SUSPECTED is member.state:
            self.accuse(now, member, rumour.accuser, by, "rumour")

    def replace(self, now: float, member: Member, rumour: Rumour, newer: bool, by: str) -> None:
        if newer:
            self.anew(now, member, address_of(rumour.address), rumour.incarnation, rumour.life)
        if rumour.state is State.SUSPECTED:
            if newer:
                self.believe(now, member, State.ALIVE, by, "rumour")
            self.accuse(now, member, rumour.accuser, by, "rumour")
        elif rumour.state is State.DEAD and now - member.heard_at < 2 * self.terms.answer + self.terms.detour:
            # Departs from SWIM: a death by hearsay of one that answered just now is a suspicion.
            self.counts["deaths not believed"] += 1
            self.accuse(now, member, tag(by), by, "rumour of its death")
        else:
            self.believe(now, member, rumour.state, by, "rumour")
            self.rumours.tell(self.word(member))

    def about_me(self, now: float, rumour: Rumour) -> None:
        """What others say of this front. All but what it says itself is refuted by a higher incarnation."""
        if rumour.incarnation < self.incarnation or self.state is State.LEFT:
            return
        own = rumour.incarnation == self.incarnation and rumour.life == self.me.life
        if own and rumour.state <= self.state:
            return
        if rumour.state in (State.SUSPECTED, State.DEAD) and rumour.life == self.me.life:
            # Who is accused may be slow itself (Lifeguard).
            self.worse(1)
            self.counts["refuted"] += 1
            self.note(
                now,
                self.me.name,
                rumour.state,
                None,
                f"accuser {rumour.accuser:08x}",
                "refuted",
                self.lateness,
            )
        elif rumour.life != self.me.life:
            self.counts["words of a former life refuted"] += 1
            address = address_of(rumour.address)
            if address != self.me.address and now - self.twin_at >= SELDOM:
                # Another address: a former life, or another process that lives. It is asked.
                self.twin_at, self.twin_nonce = now, self.nonce()
                self.ping_address(now, address, self.twin_nonce)
        self.announce(now, rumour.incarnation + 1)

    def namesake(self, now: float, source: Address, message: Message) -> None:
        """A datagram under this front's own name."""
        if message.life == self.me.life:
            self.counts["own words back"] += 1
        elif message.kind is Kind.PING:
            # It asks whether somebody lives here under its name.
            self.counts["namesakes"] += 1
            self.send_to(now, source, Kind.ACK, message.nonce)
        elif message.kind is Kind.ACK and message.nonce == self.twin_nonce:
            self.counts["namesakes"] += 1
            if message.life > self.me.life:
                self.twin = f"{source[0]}:{source[1]}"
                self.note(now, self.me.name, self.state, None, self.me.name, self.alone(now), 0.0)

    def present(self, now: float, source: Address, message: Message) -> None:
        """Who sends is there, at the incarnation that it names."""
        member = self.members.get(message.name)
        if member is None:
            if len(self.members) < self.terms.most:
                member = self.met(
                    now, message.name, source, message.incarnation, message.life, message.name, "itself"
                )
                fresh(member, message.count)
                self.rumours.tell(self.word(member))
        elif message.incarnation > member.incarnation:
            self.anew(now, member, source, message.incarnation, message.life)
            fresh(member, message.count)
            self.believe(now, member, State.ALIVE, message.name, "itself")
            self.rumours.tell(self.word(member))

    def met(
        self, now: float, name: str, address: Address, incarnation: int, life: int, by: str, path: str
    ) -> Member:
        member = self.members[name] = Member(name, address, incarnation, life, State.ALIVE, now)
        self.at[address] = name
        insort(self.ring, (tag(name), name))
        self.order.insert(self.below(len(self.order) + 1), name)
        self.mixed(now, member)
        self.note(now, name, State.ALIVE, None, by, path, 0.0)
        return member

    def anew(self, now: float, member: Member, address: Address, incarnation: int, life: int) -> None:
        """A higher incarnation: refuted, returned, or another life."""
        if member.lives:
            self.mixed(now, member)
        if member.state in (State.SUSPECTED, State.DEAD) and life == member.life:
            member.refutals = (*(at for at in member.refutals if at > now - REFUTALS_WITHIN), now)
        if life != member.life:
            member.last, member.seen, member.heard_at = 0, 0, -1e9
        if self.at.get(member.address) == member.name:
            del self.at[member.address]
        member.address, member.incarnation, member.life = address, incarnation, life
        self.at[address] = member.name
        if member.lives:
            self.mixed(now, member)

    def believe(self, now: float, member: Member, state: State, by: str, path: str) -> None:
        """The one place where a member's state changes."""
        was, lived = member.state, member.lives
        if state is not State.SUSPECTED:
            self.doubted.discard(member.name)
            member.accusers, member.until = frozenset(), float("inf")
        if was is state:
            return
        late = now - member.since if state is State.DEAD else 0.0
        member.state, member.since = state, now
        if lived != member.lives:
            self.mixed(now, member)
            if lived:
                self.ring.remove((tag(member.name), member.name))
            else:
                insort(self.ring, (tag(member.name), member.name))
                self.order.insert(self.below(len(self.order) + 1), member.name)
        self.note(now, member.name, state, was, by, path, late)

    def note(
        self, now: float, name: str, state: State, was: State | None, by: str, path: str, late: float
    ) -> None:
        change = Change(now, name, state, was, by, path, late)
        if name in self.members:
            self.members[name].story = (*self.members[name].story, change)[-STORY:]
        self.changes.append(change)

    def mixed(self, now: float, member: Member) -> None:
        """In or out of the digest: two views that agree on who lives, and since when, have the same one."""
        self.digest ^= trace(member.name, member.incarnation)
        self.changed_at = now

    def shown(self) -> int:
        """The digest as it is told to others: with this front itself."""
        return self.digest ^ trace(self.me.name, self.incarnation)

    def announce(self, now: float, incarnation: int) -> None:
        self.incarnation = max(self.incarnation, incarnation)
        self.rumours.tell(self.own_word())

    def own_word(self) -> Rumour:
        me = self.me
        return Rumour(me.name, address_bytes(me.address), self.incarnation, me.life, self.state)

    def word(self, member: Member, accuser: int = 0) -> Rumour:
        if member.state is State.SUSPECTED and not accuser:
            accuser = min(member.accusers)
        return Rumour(
            member.name, address_bytes(member.address), member.incarnation, member.life, member.state, accuser
        )

    # Lists.

    def compare(self, now: float, source: Address, message: Message, returned: bool) -> None:
        """Where another's view differs and nothing has changed here for long, its list is asked for; at once
        where one that was held dead is back: the link between two parts of the tier has healed."""
        differs = message.digest != self.shown()
        if not self.pull and (self.stale or returned or differs and now - self.changed_at > QUIET):
            self.changed_at = now
            self.ask_list(now, source, "", 0)

    def ask_list(self, now: float, address: Address, place: str, tries: int) -> None:
        if tries > PULL_TRIES:
            self.pull = None
            return
        self.pull = address, place, now + PULL_WITHIN * self.patience(), tries
        self.send_to(now, address, Kind.LIST_ASK, self.nonce(), place)

    def give_list(self, now: float, member: Member, message: Message) -> None:
        """One piece: the records of the living after a name, as many as fit, and where to go on."""
        # One more than fits tells whether there is more.
        names = nsmallest(
            MOST_A_FRAME + 1, (n for n in self.members if n > message.place and n != member.name)
        )
        room = ROOM - size(self.message(Kind.LIST, message.nonce, "x" * 64))
        pieces, place = [], ""
        if not message.place:
            pieces.append(packed(self.own_word()))
            pieces.append(packed(self.word(member)))
            room -= sum(map(len, pieces))
        for name in names:
            raw = packed(self.word(self.members[name]))
            if len(raw) > room:
                break
            room -= len(raw)
            pieces.append(raw)
            place = name
        if not names or place == names[-1]:
            place = ""
        self.count += 1
        self.sends.append(Send(member.address, self.message(Kind.LIST, message.nonce, place, tuple(pieces))))

    def take_list(self, now: float, source: Address, message: Message) -> None:
        if not self.pull or self.pull[0] != source:
            return
        if message.place:
            self.ask_list(now, source, message.place, 0)
        else:
            self.pull, self.stale = None, False

    # Those that are not there.

    def knock(self, now: float) -> None:
        """One that is held dead, or an address that nobody lives at, is pinged: that is how the two sides of
        a cut find each other again, and how a start without peers ends."""
        away = sorted(m.address for m in self.members.values() if not m.lives)
        away += sorted(a for a in self.peers if a not in self.at)
        if away:
            self.knocks += 1
            self.ping_address(now, away[self.knocks % len(away)])

    def forget(self, now: float) -> None:
        for name in [n for n, m in self.members.items() if not m.lives and now - m.since > self.terms.forget]:
            member = self.members.pop(name)
            if self.at.get(member.address) == name:
                del self.at[member.address]
            self.rumours.drop(name)

    def ping_address(self, now: float, address: Address, nonce: int = 0) -> None:
        nonce = nonce or self.nonce()
        self.loose[nonce] = now
        if name := self.at.get(address):
            self.send(now, self.members[name], Kind.PING, nonce)
        else:
            self.send_to(now, address, Kind.PING, nonce)

    # Sends.

    def send(
        self, now: float, member: Member, kind: Kind, nonce: int, place: str = "", to: Address | None = None
    ) -> None:
        """To a member goes first what is held against it, which it alone can refute."""
        first = self.word(member) if member.state in (State.SUSPECTED, State.DEAD, State.LEFT) else None
        self.send_to(now, to or member.address, kind, nonce, place, first)

    def send_to(
        self,
        now: float,
        address: Address,
        kind: Kind,
        nonce: int,
        place: str = "",
        first: Rumour | None = None,
    ) -> None:
        self.count += 1
        if self.state is State.LEFT:
            first = first or self.own_word()
        bare = self.message(kind, nonce, place)
        rumours = self.rumours.some(ROOM - size(bare), self.times(), first)
        self.sends.append(Send(address, structs.replace(bare, rumours=rumours)))

    def message(self, kind: Kind, nonce: int, place: str = "", rumours: tuple = ()) -> Message:
        return Message(
            kind,
            self.me.name,
            self.me.life,
            self.incarnation,
            self.count,
            nonce,
            self.shown(),
            place,
            rumours,
        )

    def times(self) -> int:
        return TIMES * int(1 + log2(len(self.ring) + 2))

    def nonce(self) -> int:
        """Not to be guessed, so that an answer is one to this question."""
        self.nonces += 1
        return crc32(b"%d nonce %d" % (self.seed, self.nonces)) or 1

    def below(self, most: int) -> int:
        self.draws += 1
        return crc32(b"%d %d" % (self.seed, self.draws)) * most >> 32
