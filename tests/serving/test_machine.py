"""Stateful test of the reducer's guarantees to callers.

It applies random events, including duplicate, late and reordered ones.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from azureswitch.core import CallId, Effect, HostName, TargetName
from azureswitch.exceptions import ClaimUnavailableError, Ran, TargetRejectedError
from azureswitch.inventory import TargetRole
from azureswitch.ports import LoadReport
from azureswitch.serving import (
    TICK_SECONDS,
    AttemptEnd,
    AttemptEnded,
    Call,
    CallerLeft,
    CancelAttempt,
    ClaimCall,
    ClaimDenied,
    ClaimGranted,
    ClaimOutcome,
    ClaimReplayed,
    CustomerUse,
    Digest,
    DigestReceived,
    FinishCall,
    FirstTokenArrived,
    LoadReported,
    PeersChanged,
    SettleClaim,
    ShutdownBegan,
    SnapshotAdopted,
    StartAttempt,
    TargetLoad,
    TargetUnreachable,
    Ticked,
    TokensArrived,
)
from tests.serving.fixtures import (
    CUSTOMERS,
    Driver,
    booking,
    engine,
    model_call,
    plain_call,
    snapshot,
)

ENGINES = tuple(TargetName(f"e{i}") for i in range(1, 5))
TOKENS = (10, 1_000, 40_000, 200_000, 900_000)
INDEXES = st.sampled_from((0, 0, 0, 1, 1, 2, 3, 7, 20))
MAYBE_RAN = {AttemptEnd.BROKEN, AttemptEnd.CANCELLED, AttemptEnd.COMPLETE}

MAX_DEADLINE_SECONDS = 310.0
"""Seconds after which the deadline of every call has passed."""


class ServingMachine(RuleBasedStateMachine):
    """Drives one host and checks each effect against the preceding events and effects."""

    def __init__(self) -> None:
        super().__init__()
        self.driver = Driver()
        self.calls: dict[CallId, Call] = {}
        self.starts: dict[tuple[CallId, int], StartAttempt] = {}
        self.ends: dict[tuple[CallId, int], AttemptEnd] = {}
        self.cancelled: set[tuple[CallId, int]] = set()
        self.finished: dict[CallId, FinishCall] = {}
        self.granted: set[CallId] = set()
        self.settled: dict[CallId, ClaimOutcome] = {}
        self.draining_targets: set[TargetName] = set()
        self.unreachable: dict[TargetName, float] = {}
        self.shutdown = False

    @property
    def idle(self) -> bool:
        """Whether every call is answered and the host holds no state of any."""
        state = self.driver.state
        left = state.calls or state.queue or state.fleet.loads()
        return not left and set(self.finished) == set(self.calls)

    def take(self, effects: list[Effect]) -> None:
        """Check each effect and record it."""
        for effect in effects:
            if isinstance(effect, StartAttempt):
                self.check_start(effect)
            elif isinstance(effect, CancelAttempt):
                key = (effect.call, effect.attempt)
                assert key in self.starts
                assert key not in self.cancelled | self.ends.keys()
                self.cancelled.add(key)
            elif isinstance(effect, ClaimCall):
                assert not self.calls[effect.call].repeatable
            elif isinstance(effect, SettleClaim):
                self.check_settled(effect)
            elif isinstance(effect, FinishCall):
                self.check_finish(effect)

    def check_start(self, start: StartAttempt) -> None:
        """Check an attempt: its call is open and claimed, it is new, and its targets are usable."""
        key, call = (start.call, start.attempt), self.calls[start.call]
        assert start.call not in self.finished
        assert key not in self.starts
        assert len(set(start.targets)) == len(start.targets)
        assert list(start.targets) == sorted(start.targets)
        for target in start.targets:
            assert target not in self.draining_targets
            assert self.unreachable.get(target, 0.0) <= self.driver.now
        if not call.repeatable:
            assert start.call in self.granted
            assert not self.may_have_run(start.call)
        self.starts[key] = start

    def check_settled(self, settle: SettleClaim) -> None:
        """Check that a claim is settled once, and as not run only if no attempt may have run."""
        assert settle.call in self.granted
        assert settle.call not in self.settled
        if settle.outcome is ClaimOutcome.NOT_RUN:
            assert not self.may_have_run(settle.call)
        self.settled[settle.call] = settle.outcome

    def check_finish(self, finish: FinishCall) -> None:
        """Check that there is one answer, in time, and not a wrong one that nothing ran."""
        call = self.calls[finish.call]
        assert finish.call not in self.finished
        assert self.driver.now <= call.deadline + TICK_SECONDS
        if finish.error is not None and finish.error.ran is Ran.NOT_RUN:
            assert not self.may_have_run(finish.call)
        self.finished[finish.call] = finish

    def may_have_run(self, call: CallId) -> bool:
        """Return whether any attempt of a call is running or may have run."""
        ends = [self.ends.get(key, AttemptEnd.BROKEN) for key in self.starts if key[0] == call]
        return any(end in MAYBE_RAN for end in ends)

    def any_call(self, index: int) -> CallId:
        """Return a call by its age, 0 being the latest; finished ones count."""
        return list(self.calls)[-1 - index % len(self.calls)]

    def any_start(self, index: int) -> tuple[CallId, int]:
        """Return an attempt by its age, 0 being the latest; ended ones count."""
        return list(self.starts)[-1 - index % len(self.starts)]

    @rule(
        tokens=st.sampled_from(TOKENS),
        customer=st.sampled_from(CUSTOMERS),
        seconds=st.sampled_from((0.01, 0.5, 1.0, 30.0, 300.0)),
        prefix=st.sampled_from(((), (1,), (1, 2), (3,))),
    )
    def model(self, tokens: int, customer: str, seconds: float, prefix: tuple[int, ...]) -> None:
        """A call to the model arrives."""
        call = model_call(
            f"c{len(self.calls)}",
            customer=customer,
            tokens=tokens,
            deadline=self.driver.now + seconds,
            prefix=prefix,
        )
        self.arrive(call)

    @rule(repeatable=st.booleans(), seconds=st.sampled_from((0.01, 1.0, 10.0)))
    def plain(self, repeatable: bool, seconds: float) -> None:
        """A call to a plain service arrives."""
        deadline = self.driver.now + seconds
        self.arrive(plain_call(f"c{len(self.calls)}", repeatable=repeatable, deadline=deadline))

    @rule(grants=st.integers(1, 3))
    def book(self, grants: int) -> None:
        """A call that is not repeatable arrives, and its claim is granted one or more times."""
        self.plain(repeatable=False, seconds=1.0)
        for _ in range(grants):
            self.claim(index=0, how="granted")

    def arrive(self, call: Call) -> None:
        """Let a call arrive, and again while it is open."""
        self.calls[call.id] = call
        self.take(self.driver.arrive(call))
        if call.id not in self.finished:
            self.take(self.driver.arrive(call))
        assert not self.shutdown or call.id in self.finished

    @precondition(lambda self: self.calls)
    @rule(index=INDEXES, how=st.sampled_from(("granted", "denied", "replayed")))
    def claim(self, index: int, how: str) -> None:
        """The claim of a call is answered, possibly twice or after the call has ended."""
        call, now = self.any_call(index), self.driver.now
        if self.calls[call].repeatable:
            return
        if how == "granted":
            self.granted.add(call)
            self.take(self.driver.send(ClaimGranted(now=now, call=call)))
        elif how == "denied":
            error = ClaimUnavailableError()
            self.take(self.driver.send(ClaimDenied(now=now, call=call, error=error)))
        else:
            self.take(self.driver.send(ClaimReplayed(now=now, call=call)))

    @precondition(lambda self: self.starts)
    @rule(
        index=INDEXES,
        end=st.sampled_from(AttemptEnd),
        tokens=st.integers(0, 100),
        after=st.sampled_from((None, 0.5)),
    )
    def end(self, index: int, end: AttemptEnd, tokens: int, after: float | None) -> None:
        """An attempt ends, possibly one that ended or was cancelled before."""
        call, attempt = self.any_start(index)
        error = TargetRejectedError(target_status=400, detail="no")
        event = AttemptEnded(
            now=self.driver.now,
            call=call,
            attempt=attempt,
            end=end,
            tokens=tokens,
            retry_after=after,
            error=error if end is AttemptEnd.REJECTED else None,
        )
        if (call, attempt) not in self.cancelled:
            self.ends.setdefault((call, attempt), end)
        self.take(self.driver.send(event))

    @precondition(lambda self: self.starts)
    @rule(index=INDEXES, tokens=st.integers(0, 100))
    def tokens(self, index: int, tokens: int) -> None:
        """An attempt delivers output, possibly after its end."""
        call, attempt = self.any_start(index)
        now = self.driver.now
        self.take(self.driver.send(FirstTokenArrived(now=now, call=call, attempt=attempt)))
        event = TokensArrived(now=now, call=call, attempt=attempt, tokens=tokens)
        self.take(self.driver.send(event))

    @precondition(lambda self: self.calls)
    @rule(index=INDEXES)
    def leave(self, index: int) -> None:
        """A caller disconnects."""
        self.take(self.driver.send(CallerLeft(now=self.driver.now, call=self.any_call(index))))

    @rule(seconds=st.sampled_from((0.05, 0.1, 0.4, 0.5, 5.0, 40.0)))
    def tick(self, seconds: float) -> None:
        """Advance the clock in ticks."""
        until = self.driver.now + seconds
        while self.driver.now < until:
            self.driver.now = round(self.driver.now + TICK_SECONDS, 6)
            self.take(self.driver.send(Ticked(now=self.driver.now)))

    @rule(name=st.sampled_from(ENGINES))
    def lose(self, name: TargetName) -> None:
        """A target does not answer a poll."""
        self.unreachable[name] = self.driver.now + 0.5
        self.take(self.driver.send(TargetUnreachable(now=self.driver.now, target=name)))

    @rule(
        name=st.sampled_from(ENGINES),
        sequence=st.integers(0, 20),
        tokens=st.sampled_from((0, 20_000, 400_000)),
    )
    def report(self, name: TargetName, sequence: int, tokens: int) -> None:
        """A load report arrives, possibly an outdated one."""
        report = LoadReport(
            target=name,
            started=1,
            sequence=sequence,
            running=1,
            waiting=1,
            waiting_tokens=tokens,
            urgent_tokens=tokens // 2,
            memory_used=tokens,
            memory_total=480_000,
            models=("base",),
        )
        self.take(self.driver.send(LoadReported(now=self.driver.now, report=report, age=0.1)))

    @rule(
        sequence=st.integers(0, 20),
        name=st.sampled_from(ENGINES),
        seconds=st.sampled_from((0.0, 0.3, 30.0)),
        suspect=st.booleans(),
    )
    def digest(self, sequence: int, name: TargetName, seconds: float, suspect: bool) -> None:
        """A peer's digest arrives, possibly an outdated one."""
        digest = Digest(
            host=HostName("h2"),
            sequence=sequence,
            started=1,
            loads=(TargetLoad(target=name, urgent=seconds, total=seconds),),
            uses=(CustomerUse(customer=CUSTOMERS[0], seconds=seconds),),
            suspects=(name,) if suspect else (),
        )
        self.take(self.driver.send(DigestReceived(now=self.driver.now, digest=digest)))

    @rule(count=st.integers(0, 4))
    def peers(self, count: int) -> None:
        """The set of live hosts changes."""
        hosts = tuple(HostName(f"h{i}") for i in range(1, count + 1))
        self.take(self.driver.send(PeersChanged(now=self.driver.now, hosts=hosts)))

    @rule(revision=st.integers(1, 9), draining=st.sets(st.sampled_from(ENGINES), max_size=3))
    def configure(self, revision: int, draining: set[TargetName]) -> None:
        """A configuration that drains some engines arrives, possibly an outdated one."""
        roles = {True: TargetRole.DRAINING, False: TargetRole.SERVING}
        targets = [engine(name, role=roles[name in draining]) for name in ENGINES]
        config = snapshot(revision=revision, targets=[*targets, booking("s1")], limit=2.0)
        known = self.driver.state.snapshot
        if known is not None and revision > known.revision:
            self.draining_targets = draining
        self.take(self.driver.send(SnapshotAdopted(now=self.driver.now, snapshot=config)))

    @precondition(lambda self: len(self.calls) > 5)
    @rule()
    def shut_down(self) -> None:
        """The host begins to drain, possibly twice."""
        self.shutdown = True
        self.take(self.driver.send(ShutdownBegan(now=self.driver.now)))

    @invariant()
    def answers_in_time(self) -> None:
        """Calls past their deadline are answered, and answered calls have no running attempt."""
        for call in self.calls.values():
            if self.driver.now > call.deadline + TICK_SECONDS:
                assert call.id in self.finished
        for key in self.starts:
            if key[0] in self.finished:
                assert key in self.ends.keys() | self.cancelled

    def teardown(self) -> None:
        """Advance the clock until no call is open, at most past the last deadline."""
        end = self.driver.now + MAX_DEADLINE_SECONDS
        while self.driver.now < end and not self.idle:
            self.tick(1.0)
        # Effects that still follow are checked like all others.
        self.tick(2.0)
        assert set(self.finished) == set(self.calls)
        assert not self.driver.state.calls
        assert not self.driver.state.queue
        assert not self.driver.state.fleet.loads()


ServingMachine.TestCase.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None, derandomize=True
)
TestServing = ServingMachine.TestCase
