"""Drives the real reducer of configuration in random orders and holds it to the specification."""

from random import Random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from msgspec import Struct

from azureswitch.coordination.configuration import (
    Asked,
    AuditEntry,
    BodyFetched,
    ConfigurationEvent,
    ConfigurationState,
    FetchFailed,
    HeadSeen,
    HostsListed,
    NewsReceived,
    StoreFailed,
    Ticked,
    reduce,
)
from azureswitch.coordination.configuration._effects import (
    Adopt,
    Cast,
    FetchFromHost,
    FetchFromStore,
    ListHosts,
    OpenWatch,
    ReadHead,
)
from azureswitch.coordination.configuration._messages import RevisionAsk, RevisionNews
from azureswitch.coordination.configuration._model import digest_of
from azureswitch.coordination.membership import Member, MemberStatus
from azureswitch.core import Effect, HostName, Incarnation, PlaceName
from azureswitch.ports import HostStatus, ListedHost
from models.checker import State
from models.claims_machine import PromiseBrokenError
from models.configuration import HOSTS, actions, still_needed

STEP = 0.02
"""Seconds between two steps; a run stays below the bound for starting."""

NAMES = tuple(HostName(f"host {number + 1}") for number in range(HOSTS))
PLACE = PlaceName("a")


class _Flight(Struct, kw_only=True):
    """Something on its way to a process; a replaced one hears nothing."""

    process: ConfigurationState
    host: int
    event: ConfigurationEvent


class ConfigurationMachine(RuleBasedStateMachine):
    """A few hosts with one revision in force, and a store that may be down."""

    forgets_revision = False
    serves_first_answer = False
    last_trace: tuple[str, ...] = ()
    steps_taken = 0

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.store_up = True
        self.flights: list[_Flight] = []
        self.trace: list[str] = []
        self.spec = State(
            variables={
                "head": 1,
                "rev": (0,) * HOSTS,
                "high": (0,) * HOSTS,
                "need": (0,) * HOSTS,
                "answer": (-1,) * HOSTS * HOSTS,
                "kept": (False,) * HOSTS * HOSTS,
            }
        )
        self.processes = [self._process(number) for number in range(HOSTS)]
        for number in range(HOSTS):
            self._tell(number, HeadSeen(now=self.now, entry=_entry(1)))
            self._tell(number, _fetched(self.now, 1))
        self.flights.clear()

    # --- Steps ------------------------------------------------------------------------------------

    @rule()
    def accept(self) -> None:
        """A change is accepted."""
        self._note(f"revision {self.spec.head + 1} is accepted")
        self.spec = self.spec.after({"head": self.spec.head + 1})

    @rule(up=st.booleans())
    def switch_store(self, up: bool) -> None:
        """The store goes down or comes back."""
        self._note(f"the store is {'up' if up else 'down'}")
        self.store_up = up

    @rule(host=st.integers(0, HOSTS - 1))
    def see_head(self, host: int) -> None:
        """A host hears of the head, if the store is up."""
        if self.store_up:
            self._note(f"host {host + 1} sees the head")
            self._tell(host, HeadSeen(now=self.now, entry=_entry(self.spec.head)))

    @rule(host=st.integers(0, HOSTS - 1), revision=st.integers(1, 5))
    def hear_late(self, host: int, revision: int) -> None:
        """A body that another host passed on long ago arrives at a host that serves."""
        if self.spec.rev[host] and revision <= self.spec.head:
            self._note(f"host {host + 1} gets revision {revision} late")
            self._tell(host, _fetched(self.now, revision))

    @rule(at=st.integers(0, 30))
    def deliver(self, at: int) -> None:
        """Something in flight arrives."""
        if self.flights:
            self._deliver(self.flights.pop(at % len(self.flights)))

    @rule(at=st.integers(0, 30))
    def lose(self, at: int) -> None:
        """Something in flight is lost."""
        if self.flights:
            self.flights.pop(at % len(self.flights))

    @rule(count=st.integers(1, 60))
    def go_on(self, count: int) -> None:
        """All that is in flight arrives for a while, and time passes."""
        for _ in range(count):
            if not self.flights:
                self.tick()
            if self.flights:
                self._deliver(self.flights.pop(0))

    @rule()
    def tick(self) -> None:
        """Time passes on all hosts."""
        members = tuple(_member(number) for number in range(HOSTS))
        for number in range(HOSTS):
            self._tell(number, Ticked(now=self.now, members=members))

    @rule(host=st.integers(0, HOSTS - 1), revision=st.integers(1, 5))
    def restart(self, host: int, revision: int) -> None:
        """A process is replaced, while half of the others have a revision in force."""
        step = next(action.step for action in actions("") if action.name == "restart")
        allowed, changes = step(self.spec, host, revision)
        if allowed:
            self._note(f"host {host + 1} is replaced")
            self.spec = self.spec.after(changes())
            self.processes[host] = self._process(host)

    @rule(host=st.integers(0, HOSTS - 1))
    def replace_in_spreading(self, host: int) -> None:
        """A process is replaced while a new revision is on all hosts but one, and its news lost."""
        self.switch_store(up=False)
        self.accept()
        stale = (host + 1) % HOSTS
        for other in range(HOSTS):
            if other not in (host, stale):
                self._tell(other, _fetched(self.now, self.spec.head))
        self.flights.clear()
        self.restart(host=host, revision=self.spec.head)

    # --- Carrying out -----------------------------------------------------------------------------

    def _process(self, number: int) -> ConfigurationState:
        return ConfigurationState(
            host=NAMES[number],
            place=PLACE,
            address=NAMES[number],
            random=Random(number),
            now=self.now,
        )

    def _deliver(self, flight: _Flight) -> None:
        if self.processes[flight.host] is flight.process:
            self._note(f"host {flight.host + 1} gets {type(flight.event).__name__}")
            self._tell(flight.host, flight.event)

    def _tell(self, host: int, event: ConfigurationEvent) -> None:
        type(self).steps_taken += 1
        self.now += STEP
        process = self.processes[host]
        if self.forgets_revision and isinstance(event, BodyFetched):
            process._revision = 0
        if self.serves_first_answer and isinstance(event, NewsReceived):
            process._start = None
        for effect in reduce(process, event):
            if isinstance(effect, Adopt):
                self._adopt(host, effect.revision)
            else:
                self._launch(host, effect)

    def _launch(self, host: int, effect: Effect) -> None:
        if isinstance(effect, Cast):
            self._cast(host, effect)
            return
        event = self._answer(effect)
        if event is not None:
            self.flights.append(_Flight(process=self.processes[host], host=host, event=event))

    def _cast(self, host: int, effect: Cast) -> None:
        to = NAMES.index(HostName(effect.address))
        event: ConfigurationEvent
        if isinstance(effect.message, RevisionNews):
            event = NewsReceived(now=self.now, news=effect.message)
        else:
            assert isinstance(effect.message, RevisionAsk)
            event = Asked(now=self.now, ask=effect.message)
        self.flights.append(_Flight(process=self.processes[to], host=to, event=event))

    def _answer(self, effect: Effect) -> ConfigurationEvent | None:
        if isinstance(effect, ListHosts):
            hosts = tuple(_listed(number) for number in range(HOSTS))
            return HostsListed(now=self.now, hosts=hosts)
        if isinstance(effect, ReadHead | OpenWatch):
            if not self.store_up:
                return StoreFailed(now=self.now)
            return HeadSeen(now=self.now, entry=_entry(self.spec.head))
        if isinstance(effect, FetchFromStore):
            if not self.store_up:
                return FetchFailed(now=self.now, address="")
            return _fetched(self.now, effect.entry.revision)
        if isinstance(effect, FetchFromHost):
            other = NAMES.index(HostName(effect.address))
            if self.spec.rev[other] < effect.revision:
                return FetchFailed(now=self.now, address=effect.address)
            return _fetched(self.now, self.spec.rev[other])
        return None

    # --- The specification ------------------------------------------------------------------------

    def _adopt(self, host: int, revision: int) -> None:
        before = self.spec.rev[host]
        self._note(f"host {host + 1} serves by revision {revision}")
        rev = (*self.spec.rev[:host], revision, *self.spec.rev[host + 1 :])
        self.spec = self.spec.after({"rev": rev, "high": rev})
        if revision <= before:
            raise self._broken("no process goes back")
        if revision > self.spec.head:
            raise self._broken("only accepted revisions are in force")
        if still_needed(self.spec, host) and revision < self.spec.need[host]:
            raise self._broken("no start goes back")

    def _broken(self, promise: str) -> PromiseBrokenError:
        type(self).last_trace = tuple(self.trace)
        return PromiseBrokenError(promise)

    def _note(self, step: str) -> None:
        self.trace.append(step)


def _body(revision: int) -> bytes:
    return f"revision {revision}".encode()


def _fetched(now: float, revision: int) -> BodyFetched:
    body = _body(revision)
    return BodyFetched(now=now, revision=revision, digest=digest_of(body), body=body)


def _entry(revision: int) -> AuditEntry:
    return AuditEntry(
        revision=revision,
        base=revision - 1,
        change=str(revision),
        author="operator",
        accepted=0,
        digest=digest_of(_body(revision)),
        previous="",
    )


def _member(number: int) -> Member:
    return Member(
        incarnation=Incarnation(host=NAMES[number], started=1),
        place=PLACE,
        address=NAMES[number],
        status=MemberStatus.ALIVE,
    )


def _listed(number: int) -> ListedHost:
    return ListedHost(
        name=NAMES[number], place=PLACE, address=NAMES[number], status=HostStatus.LIVE
    )
