"""State kept for clients: no ticket runs its batch twice, and no container exceeds its bounds."""

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from thistlelever.state.prepared import Shelf
from thistlelever.state.sessions import Sessions, fault
from thistlelever.state.tickets import Stamp, Tickets, Verdict

MOST = 5


class TicketsTwice(RuleBasedStateMachine):
    """Issues, redeems, cancels and presents tickets again while time passes, also those of other fronts."""

    def __init__(self):
        super().__init__()
        self.tickets, self.now, self.issued = Tickets("n0", "life", MOST), 0.0, []
        self.ran, self.called_off = [], set()

    @rule(life=st.floats(0.1, 5))
    def issue(self, life):
        self.issued.append(Stamp("n0", "life", f"{len(self.issued):016x}", self.now + life))

    @rule(seconds=st.floats(0, 3))
    def passes(self, seconds):
        self.now += seconds

    @rule(place=st.integers(0, 50))
    def redeem(self, place):
        if not self.issued:
            return
        stamp = self.issued[place % len(self.issued)]
        verdict = self.tickets.redeem(stamp, self.now)
        if verdict is Verdict.GOOD:
            # A ticket that is forgotten before it expires would run its batch again.
            assert stamp.number not in self.ran and stamp.number not in self.called_off
            assert self.now < stamp.expires
            self.ran.append(stamp.number)
        elif verdict is Verdict.USED:
            assert stamp.number in self.ran
        elif verdict is Verdict.EXPIRED:
            assert self.now >= stamp.expires

    @rule(place=st.integers(0, 50))
    def call_off(self, place):
        if not self.issued:
            return
        stamp = self.issued[place % len(self.issued)]
        if self.tickets.call_off(stamp, self.now) is Verdict.GOOD:
            assert stamp.number not in self.ran
            self.called_off.add(stamp.number)

    @rule(front=st.sampled_from(["n1", "n0"]), life=st.sampled_from(["before", "life"]))
    def foreign(self, front, life):
        if (front, life) != ("n0", "life"):
            stamp = Stamp(front, life, "00", self.now + 9)
            verdict = self.tickets.redeem(stamp, self.now)
            assert verdict is (Verdict.FOREIGN if front == "n1" else Verdict.EARLIER)

    @invariant()
    def bounded(self):
        assert len(self.tickets.used) == len(self.tickets.by_expiry) <= MOST


TestTicketsTwice = TicketsTwice.TestCase
TestTicketsTwice.settings = settings(max_examples=60, stateful_step_count=40, deadline=None, derandomize=True)


class ShelfBounds(RuleBasedStateMachine):
    """Clients prepare, bind, use and close statements, or never close them; the byte count stays exact."""

    def __init__(self):
        super().__init__()
        self.shelf, self.now, self.made = Shelf(4, 10.0, 100), 0.0, 0

    @rule(size=st.integers(0, 60))
    def prepare(self, size):
        self.made += 1
        before = set(self.shelf.held)
        if not self.shelf.add(str(self.made), b"x" * size, self.now):
            # A client that prepares without end must not evict statements in use.
            assert all(self.now - self.shelf.held[h].last_used < 10 for h in before if h in self.shelf.held)

    @rule(number=st.integers(1, 20), size=st.integers(0, 120))
    def bind(self, number, size):
        held = str(number) in self.shelf.held
        if self.shelf.bind(str(number), [(1,)], size, self.now):
            assert held and self.shelf.held[str(number)].rows == [(1,)]

    @rule(number=st.integers(1, 20))
    def close(self, number):
        held = str(number) in self.shelf.held
        assert self.shelf.drop(str(number)) == held and str(number) not in self.shelf.held

    @rule(seconds=st.floats(0, 6))
    def passes(self, seconds):
        self.now += seconds

    @invariant()
    def counted(self):
        assert len(self.shelf.held) <= 4
        assert self.shelf.bytes == sum(p.size for p in self.shelf.held.values()) <= 100

    @rule(number=st.integers(1, 20))
    def use(self, number):
        found = self.shelf.find(str(number), self.now)
        assert (found is not None) == (str(number) in self.shelf.held)


TestShelfBounds = ShelfBounds.TestCase
TestShelfBounds.settings = settings(max_examples=60, stateful_step_count=40, deadline=None, derandomize=True)


def test_sessions_idle_out_and_make_room():
    sessions = Sessions(2, 10.0)
    sessions.open("a", 0.0).options["group"] = "pay"
    sessions.open("b", 5.0)
    assert sessions.open("c", 9.0) is None
    assert sessions.find("a", 9.5).options == {"group": "pay"}
    assert sessions.open("c", 15.5) is not None and sessions.find("b", 15.5) is None
    assert sessions.find("a", 19.6) is None and not sessions.close("a")


@given(
    st.text(max_size=8),
    st.one_of(
        st.none(), st.booleans(), st.floats(), st.text(max_size=40), st.lists(st.text(max_size=2), max_size=2)
    ),
)
def test_an_option_that_is_taken_has_its_form(name, value):
    # An invalid option would fail every later batch of the client, with an error that names no option call.
    for known in (name, "group", "wait_ms", "retry"):
        if fault(known, value) is None:
            assert known in ("group", "wait_ms", "retry") and value not in (None, "")
            assert known != "wait_ms" or 0 <= float(value) < 1e12
            assert known != "group" or type(value) is str
