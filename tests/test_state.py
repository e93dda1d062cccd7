"""State kept for clients: no ticket runs its batch twice, and no container exceeds its bounds."""

from hypothesis import example, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from thistlelever.ground.submission import parse_submission
from thistlelever.state.prepared import PreparedStatements
from thistlelever.state.sessions import OPTIONS, Sessions, option_error
from thistlelever.state.tickets import TicketClaims, Tickets, TicketStatus

MOST = 5


class TicketsTwice(RuleBasedStateMachine):
    """Issues, redeems, cancels and presents tickets again while time passes, also those of other fronts."""

    def __init__(self):
        super().__init__()
        self.tickets, self.now, self.issued = Tickets("n0", "life", MOST), 0.0, []
        self.ran, self.cancelled = [], set()

    @rule(life=st.floats(0.1, 5))
    def issue(self, life):
        self.issued.append(TicketClaims("n0", "life", f"{len(self.issued):016x}", self.now + life))

    @rule(seconds=st.floats(0, 3))
    def passes(self, seconds):
        self.now += seconds

    @rule(place=st.integers(0, 50))
    def redeem(self, place):
        if not self.issued:
            return
        claims = self.issued[place % len(self.issued)]
        status = self.tickets.redeem(claims, self.now)
        if status is TicketStatus.VALID:
            # A ticket that is forgotten before it expires would run its batch again.
            assert claims.number not in self.ran and claims.number not in self.cancelled
            assert self.now < claims.expires
            self.ran.append(claims.number)
        elif status is TicketStatus.REDEEMED:
            assert claims.number in self.ran
        elif status is TicketStatus.EXPIRED:
            assert self.now >= claims.expires

    @rule(place=st.integers(0, 50))
    def call_off(self, place):
        if not self.issued:
            return
        claims = self.issued[place % len(self.issued)]
        if self.tickets.cancel(claims, self.now) is TicketStatus.VALID:
            assert claims.number not in self.ran
            self.cancelled.add(claims.number)

    @rule(front=st.sampled_from(["n1", "n0"]), life=st.sampled_from(["before", "life"]))
    def foreign(self, front, life):
        if (front, life) != ("n0", "life"):
            claims = TicketClaims(front, life, "00", self.now + 9)
            status = self.tickets.redeem(claims, self.now)
            assert status is (TicketStatus.OTHER_FRONT if front == "n1" else TicketStatus.EARLIER_START)

    @invariant()
    def bounded(self):
        assert len(self.tickets.used) == len(self.tickets.by_expiry) <= MOST


TestTicketsTwice = TicketsTwice.TestCase
TestTicketsTwice.settings = settings(max_examples=60, stateful_step_count=40, deadline=None, derandomize=True)


class ShelfBounds(RuleBasedStateMachine):
    """Clients prepare, bind, use and close statements, or never close them; the byte count stays exact."""

    def __init__(self):
        super().__init__()
        self.statements, self.now, self.made = PreparedStatements(4, 10.0, 100), 0.0, 0

    @rule(size=st.integers(0, 60))
    def prepare(self, size):
        self.made += 1
        before = set(self.statements.by_handle)
        if not self.statements.add(str(self.made), b"x" * size, self.now):
            # A client that prepares without end must not evict statements in use.
            assert all(
                self.now - self.statements.by_handle[h].last_used < 10
                for h in before
                if h in self.statements.by_handle
            )

    @rule(number=st.integers(1, 20), size=st.integers(0, 120))
    def bind(self, number, size):
        held = str(number) in self.statements.by_handle
        if self.statements.bind(str(number), [(1,)], size, self.now):
            assert held and self.statements.by_handle[str(number)].rows == [(1,)]

    @rule(number=st.integers(1, 20))
    def close(self, number):
        held = str(number) in self.statements.by_handle
        assert self.statements.drop(str(number)) == held and str(number) not in self.statements.by_handle

    @rule(seconds=st.floats(0, 6))
    def passes(self, seconds):
        self.now += seconds

    @invariant()
    def counted(self):
        assert len(self.statements.by_handle) <= 4
        assert self.statements.bytes == sum(p.size for p in self.statements.by_handle.values()) <= 100

    @rule(number=st.integers(1, 20))
    def use(self, number):
        found = self.statements.find(str(number), self.now)
        assert (found is not None) == (str(number) in self.statements.by_handle)


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


# The field of a batch that each numeric option sets.
FIELD_BY_OPTION = {"wait_ms": "wait", "cost_ms": "cost", "need_mb": "need_mb"}
NUMBERS = (1, 0.5, 999_999_999_999, "1", "2.5", "1e3")
NO_NUMBERS = (-1, 1e12, float("nan"), "", "-1", "1e12", "nan", "inf", "much", "1" * 33, True, None, ["1"])
TEXTS, NO_TEXTS = ("0", "true", "x" * 128), ("", "x" * 129, 0, 1.5, True, None, ["x"])
# Values of each option's form, and values that are not.
OPTION_VALUES = {
    "group": (TEXTS, NO_TEXTS),
    "tenant": (TEXTS, NO_TEXTS),
    "wait_ms": (NUMBERS, (*NO_NUMBERS, 0, 0.0, "0", "0.0", "1e-400")),
    "cost_ms": ((*NUMBERS, 0, "0"), NO_NUMBERS),
    "need_mb": ((*NUMBERS, 0, "0"), NO_NUMBERS),
    "retry": ((True, False, "0", "1", "true", "false"), ("", "yes", "True", 1, 0.0, None, ["1"])),
    "catalog": (TEXTS, NO_TEXTS),
    "schema": (TEXTS, NO_TEXTS),
}


def is_of_form(name, value):
    """Whether a value has the form of an option."""
    if name == "retry":
        return value is True or value is False or value in ("0", "1", "true", "false")
    if name in ("group", "tenant", "catalog", "schema"):
        return isinstance(value, str) and 1 <= len(value) <= 128
    if isinstance(value, bool) or not isinstance(value, int | float | str):
        return False
    if isinstance(value, str) and len(value) > 32:
        return False
    try:
        number = float(value)
    except ValueError:
        return False
    return (number > 0 if name == "wait_ms" else number >= 0) and number < 1e12


def test_each_option_takes_its_own_form_only():
    # An option without a form of its own would be stored as it came.
    assert set(OPTION_VALUES) == set(OPTIONS)
    for name, (accepted, refused) in OPTION_VALUES.items():
        assert [option_error(name, value) for value in accepted] == [None] * len(accepted)
        assert [option_error(name, value) for value in refused] == ["value"] * len(refused)
        assert all(is_of_form(name, value) for value in accepted)
        assert not any(is_of_form(name, value) for value in refused)


@given(
    st.one_of(st.sampled_from(OPTIONS), st.text(max_size=8)),
    st.one_of(
        st.sampled_from([value for row in OPTION_VALUES.values() for values in row for value in values]),
        st.none(),
        st.booleans(),
        st.integers(-(2**63), 2**63 - 1),
        st.floats(),
        st.floats().map(str),
        st.text(max_size=140),
        st.lists(st.text(max_size=2), max_size=2),
    ),
)
@example("wait_ms", 0)
@example("wait_ms", "0")
@example("catalog", "0")
def test_an_option_that_is_taken_has_its_form(name, value):
    # An invalid option would fail every later batch of the client, with an error that names no option call.
    expected = "name" if name not in OPTION_VALUES else None if is_of_form(name, value) else "value"
    assert option_error(name, value) == expected


@given(
    st.sampled_from(("wait_ms", "cost_ms", "need_mb")),
    st.one_of(st.sampled_from((*NUMBERS, 0, 0.0, "0")), st.integers(), st.floats(), st.floats().map(str)),
)
@example("wait_ms", 0)
def test_a_batch_accepts_each_number_that_an_option_accepts(name, value):
    # A `wait_ms` of 0 was stored, and refused in each later batch of the session.
    if option_error(name, value) is None:
        fields = {"id": f"{1:016x}", "wait": 1.0} | {FIELD_BY_OPTION[name]: float(value)}
        parse_submission(fields, b"")
