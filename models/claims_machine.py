"""Drives the real reducers of claims in random orders and holds them to the specification.

Everything between the reducers is in flight: calls to the store, their answers, asks and replies.
Each may be carried out at any time, twice, or never.  Segments hold a single record, so that every
write goes through sealing and merging as well.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import singledispatchmethod
from random import Random
from typing import Any
from unittest.mock import patch

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from msgspec import Struct

from azureswitch.coordination.claims import _claimer, _layout, _owner
from azureswitch.coordination.claims import _events as ev
from azureswitch.coordination.claims._messages import ClaimAsk, SettleAsk, Verdict
from azureswitch.coordination.claims._model import Head, Record, RecordState, SegmentRef
from azureswitch.coordination.claims._state import OwnerState
from azureswitch.core import CallId, Effect, Event, HostName, Incarnation
from azureswitch.serving import ClaimOutcome
from models.checker import Sorts, State
from models.claims import (
    ASKING,
    CLAIM,
    CLAIMED,
    DEAD,
    DONE,
    ENDED,
    FREE,
    GRANTED,
    NOT_RUN,
    OVER,
    SENT,
    UNKNOWN,
    actions,
    safety,
)
from models.claims_proof import claim_invariant

KEY = bytes(16)
MARK = bytes(8)
HOSTS = 2
CLAIMS = 3
GOES_WELL = 80
"""Steps in which an undisturbed call is granted, or its outcome is stored."""

STEP = 0.05
"""Seconds of virtual time between two steps."""

_RECORDS = {
    RecordState.CLAIMED: CLAIMED,
    RecordState.NOT_RUN: NOT_RUN,
    RecordState.DONE: DONE,
    RecordState.UNKNOWN: UNKNOWN,
}
_OUTCOMES = {ClaimOutcome.DONE: DONE, ClaimOutcome.UNKNOWN: UNKNOWN, ClaimOutcome.NOT_RUN: NOT_RUN}


class PromiseBrokenError(AssertionError):
    """The reducers did what the specification does not allow."""


class _Flight(Struct, kw_only=True):
    """Something on its way.

    Attributes:
        host: The process that waits for it; one that has crashed hears nothing.
        effect: What is to be carried out, or None once it was.
        event: What the process is told then.
        lost: What the process is told where the answer is lost, or None where it just waits.
    """

    host: "_Host"
    effect: Effect | None
    event: Event | None = None
    lost: Event | None = None


class _Host:
    def __init__(self, *, number: int, started: int) -> None:
        self.number = number
        self.incarnation = Incarnation(host=HostName(f"host {number + 1}"), started=started)
        self.owner = OwnerState(retention=1e9, budget=1e9)
        self.claimer = _claimer.ClaimerState(random=Random(number))
        self.asks: dict[int, ev.SendRequest] = {}
        self.replies: dict[int, _Host] = {}


class ClaimsMachine(RuleBasedStateMachine):
    """Two processes, three calls with one key, one shard."""

    ignores_version = False
    last_trace: tuple[str, ...] = ()
    steps_taken = 0

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.numbers = 0
        self.version = 0
        self.head = Head()
        self.segments: dict[SegmentRef, tuple[Record, ...]] = {}
        self.flights: list[_Flight] = []
        self.hosts = [_Host(number=number, started=1) for number in range(HOSTS)]
        self.callers: list[_Host] = []
        self.trace: list[str] = []
        self.failed = False
        self.spec = State(
            variables={
                "owner": 0,
                "record": FREE,
                "phase": (ASKING,) * CLAIMS,
                "ran": (False,) * CLAIMS,
                "told": (False,) * CLAIMS,
                "out": (FREE,) * CLAIMS,
            }
        )
        for host in self.hosts:
            self._membership(host)

    # --- Steps ------------------------------------------------------------------------------------

    @rule(at=st.integers(0, HOSTS - 1))
    def call(self, at: int) -> None:
        """A caller sends the key to a host."""
        if len(self.callers) == CLAIMS:
            return
        number, host = len(self.callers), self.hosts[at]
        self.callers.append(host)
        ask = ClaimAsk(
            shard=0, key=KEY, mark=MARK, holder=host.incarnation, call=_call(number), wait=1e9
        )
        self._note(f"call {number + 1} at host {at + 1}")
        self._claim_side(host, ev.ClaimRequested(now=self.now, request=ask, until=1e9))

    @rule(at=st.integers(0, 30))
    def carry_out(self, at: int) -> None:
        """Something in flight is carried out, or its answer arrives."""
        if self.flights:
            self._advance(self.flights[at % len(self.flights)])

    @rule(at=st.integers(0, 30))
    def lose(self, at: int) -> None:
        """An answer is lost; what is in flight may take effect all the same."""
        if not self.flights:
            return
        flight = self.flights[at % len(self.flights)]
        if flight.lost is not None:
            lost, flight.lost, flight.event = flight.lost, None, None
            self._note(f"lose the answer to {type(flight.effect).__name__}")
            self._tell(flight.host, lost)

    @rule(steps=st.integers(1, 60))
    def go_on(self, steps: int) -> None:
        """All goes well for a while."""
        for _ in range(steps):
            if not self.flights:
                self._tick()
            if not self.flights:
                return
            self._advance(self.flights[0])

    @rule(at=st.integers(0, HOSTS - 1), outcome=st.sampled_from(ClaimOutcome))
    def serve(self, at: int, outcome: ClaimOutcome) -> None:
        """A caller sends the key, and all goes well until the call has ended."""
        self.call(at=at)
        self.go_on(steps=GOES_WELL)
        self.send(at=0)
        self.end(at=0, outcome=outcome)
        self.go_on(steps=GOES_WELL)

    @rule(at=st.integers(0, CLAIMS - 1))
    def give_up(self, at: int) -> None:
        """A call that was not sent does not want its claim any longer."""
        number = self._pick(at, ASKING, GRANTED)
        if number is not None:
            self._note(f"give up call {number + 1}")
            self._not_run(number)
            event = ev.ClaimCancelled(now=self.now, call=_call(number))
            self._claim_side(self.callers[number], event)

    @rule(at=st.integers(0, CLAIMS - 1))
    def send(self, at: int) -> None:
        """A granted call is sent."""
        number = self._pick(at, GRANTED)
        if number is not None:
            self._note(f"send call {number + 1}")
            self._set(number, phase=SENT, ran=True)

    @rule(at=st.integers(0, CLAIMS - 1), outcome=st.sampled_from(ClaimOutcome))
    def end(self, at: int, outcome: ClaimOutcome) -> None:
        """A sent call ends."""
        number = self._pick(at, SENT)
        if number is None:
            return
        self._note(f"call {number + 1} ends {outcome.value}")
        if outcome is ClaimOutcome.NOT_RUN:
            self._not_run(number)
        else:
            self._set(number, phase=ENDED, out=_OUTCOMES[outcome])
        event = ev.OutcomeReported(now=self.now, call=_call(number), outcome=outcome)
        self._claim_side(self.callers[number], event)

    @rule(at=st.integers(0, CLAIMS - 1))
    def answer_late(self, at: int) -> None:
        """The answer of a call comes after its outcome was called unknown."""
        number = self._pick(at, ENDED)
        if number is None or self.callers[number] not in self.hosts:
            return
        self._note(f"call {number + 1} is answered late")
        self._set(number, out=DONE)
        event = ev.OutcomeReported(now=self.now, call=_call(number), outcome=ClaimOutcome.DONE)
        self._claim_side(self.callers[number], event)

    def _pick(self, at: int, *phases: int) -> int | None:
        eligible = [
            number for number in range(len(self.callers)) if self.spec.phase[number] in phases
        ]
        return eligible[at % len(eligible)] if eligible else None

    @rule()
    def tick(self) -> None:
        """Time passes on both hosts."""
        self._tick()

    @rule(at=st.integers(0, HOSTS - 1))
    def crash(self, at: int) -> None:
        """A process dies and another takes its place; what it wrote may still land."""
        old = self.hosts[at]
        self._note(f"host {at + 1} crashes")
        self.hosts[at] = _Host(number=at, started=old.incarnation.started + 1)
        for number, host in enumerate(self.callers):
            if host is old and self.spec.phase[number] in (ASKING, GRANTED, SENT):
                self._set(number, phase=DEAD)
        for flight in self.flights:
            if flight.host is old:
                flight.event = flight.lost = None
        for number, asked in old.asks.items():
            failed = ev.RequestFailed(now=self.now, call=asked.request.call, attempt=asked.attempt)
            self.flights.append(_Flight(host=old.replies[number], effect=None, event=failed))
        for host in self.hosts:
            self._membership(host)

    # --- Carrying out -----------------------------------------------------------------------------

    def _advance(self, flight: _Flight) -> None:
        if flight.effect is not None:
            effect, flight.effect = flight.effect, None
            self._note(f"carry out {type(effect).__name__} of host {flight.host.number + 1}")
            answer = self._carry_out(effect, flight.host)
            if flight.lost is not None and answer is not None:
                flight.event = answer
                return
        self.flights.remove(flight)
        if flight.event is not None:
            self._note(f"host {flight.host.number + 1} hears {type(flight.event).__name__}")
            self._tell(flight.host, flight.event)

    @singledispatchmethod
    def _carry_out(self, effect: Effect, host: _Host) -> Event | None:
        raise NotImplementedError(type(effect).__name__)

    @_carry_out.register
    def _(self, effect: ev.ReadHead, host: _Host) -> Event | None:
        return self._own(ev.HeadRead, version=self.version, head=self.head)

    @_carry_out.register
    def _(self, effect: ev.WriteHead, host: _Host) -> Event | None:
        if effect.version != self.version and not self.ignores_version:
            return self._own(ev.HeadConflicted)
        self.version += 1
        self.head = effect.head
        self._check_record()
        return self._own(ev.HeadWritten, version=self.version)

    @_carry_out.register
    def _(self, effect: ev.ReadSegments, host: _Host) -> Event | None:
        contents = tuple(self.segments.get(ref) for ref in effect.refs)
        return self._own(ev.SegmentsRead, refs=effect.refs, contents=contents)

    @_carry_out.register
    def _(self, effect: ev.StoreSegment, host: _Host) -> Event | None:
        if self.segments.setdefault(effect.ref, effect.records) != effect.records:
            raise self._broken("a segment's name stands for one content")
        return self._own(ev.SegmentStored, ref=effect.ref)

    @_carry_out.register
    def _(self, effect: ev.DeleteSegments, host: _Host) -> Event | None:
        for ref in effect.refs:
            self.segments.pop(ref, None)
        self._check_record()
        return self._own(ev.SegmentsDeleted, refs=effect.refs)

    @_carry_out.register
    def _(self, effect: ev.SendRequest, host: _Host) -> Event | None:
        owner = self.hosts[(host.number + effect.rank) % HOSTS]
        self.numbers += 1
        owner.asks[self.numbers] = effect
        owner.replies[self.numbers] = host
        arrived = ev.RequestReceived(
            now=self.now, wall=0, number=self.numbers, request=effect.request
        )
        self._own_side(owner, arrived)
        return None

    @_carry_out.register
    def _(self, effect: ev.QueryHolder, host: _Host) -> Event | None:
        record = effect.record
        holder = next((item for item in self.hosts if item.incarnation == record.holder), None)
        if holder is None or holder.claimer.holds(call=CallId(record.call)):
            return None
        release = SettleAsk(
            shard=0,
            key=KEY,
            mark=MARK,
            holder=record.holder,
            call=CallId(record.call),
            outcome=ClaimOutcome.NOT_RUN,
        )
        self.numbers += 1
        arrived = ev.RequestReceived(now=self.now, wall=0, number=self.numbers, request=release)
        self._own_side(host, arrived)
        return None

    def _own(self, kind: Callable[..., Event], **fields: Any) -> Event:
        return kind(now=self.now, wall=0.0, shard=0, **fields)

    def _tell(self, host: _Host, event: Event) -> None:
        if host not in self.hosts:
            return
        if isinstance(event, ev.OwnerEvent):
            self._own_side(host, event)
        else:
            self._claim_side(host, event)

    def _tick(self) -> None:
        self.now += STEP
        for host in self.hosts:
            self._own_side(host, ev.OwnerTicked(now=self.now, wall=0.0))
            self._claim_side(host, ev.ClaimerTicked(now=self.now))

    def _membership(self, host: _Host) -> None:
        alive = frozenset(item.incarnation for item in self.hosts)
        self._own_side(host, ev.MembersChanged(now=self.now, wall=0.0, alive=alive))

    def _own_side(self, host: _Host, event: ev.OwnerEvent) -> None:
        type(self).steps_taken += 1
        self.now += STEP
        for effect in _owner.reduce(event, host.owner):
            if isinstance(effect, ev.SendReply):
                self._reply(host, effect)
            else:
                self._launch(host, effect)

    def _reply(self, host: _Host, effect: ev.SendReply) -> None:
        asked = host.asks.pop(effect.number, None)
        if asked is None:
            return
        call, attempt = asked.request.call, asked.attempt
        replied = ev.ReplyReceived(
            now=self.now, call=call, attempt=attempt, verdict=effect.verdict, answer=effect.answer
        )
        failed = ev.RequestFailed(now=self.now, call=call, attempt=attempt)
        claimer = host.replies.pop(effect.number)
        self.flights.append(_Flight(host=claimer, effect=None, event=replied, lost=failed))

    def _launch(self, host: _Host, effect: Effect) -> None:
        lost: Event | None = None
        if isinstance(effect, ev.WriteHead):
            lost = self._own(ev.HeadWriteUnknown)
        elif isinstance(effect, ev.ReadHead | ev.ReadSegments):
            lost = self._own(ev.ReadFailed)
        elif isinstance(effect, ev.StoreSegment):
            lost = self._own(ev.SegmentStoreFailed)
        elif isinstance(effect, ev.DeleteSegments):
            lost = self._own(ev.SegmentsDeleted, refs=())
        elif isinstance(effect, ev.SendRequest):
            lost = ev.RequestFailed(now=self.now, call=effect.request.call, attempt=effect.attempt)
        self.flights.append(_Flight(host=host, effect=effect, lost=lost))

    def _claim_side(self, host: _Host, event: Event) -> None:
        type(self).steps_taken += 1
        for effect in _claimer.reduce(event, host.claimer):
            if isinstance(effect, ev.ResolveClaim):
                self._resolve(int(effect.call), effect.verdict)
            else:
                self._launch(host, effect)

    def _resolve(self, number: int, verdict: Verdict) -> None:
        if verdict is Verdict.GRANTED:
            if self.spec.phase[number] != ASKING:
                raise self._broken("only a call that waits is granted")
            self._set(number, phase=GRANTED)
        else:
            self._not_run(number)

    # --- The specification ------------------------------------------------------------------------

    def _not_run(self, number: int) -> None:
        self._set(number, phase=OVER, ran=False, told=True, out=NOT_RUN)

    def _set(self, number: int, **changes: Any) -> None:
        arrays = {}
        for name, value in changes.items():
            array = list(self.spec.values[name])
            array[number] = value
            arrays[name] = tuple(array)
        self.spec = self.spec.after(arrays)
        self._check_safety()

    def _stored_record(self) -> tuple[int, int]:
        """Return the claim and the state that the store holds for the key."""
        frozen = () if self.head.frozen is None else self.head.frozen.records
        sealed = [self.segments.get(ref, ()) for ref in self.head.sealed]
        for records in (self.head.open, frozen, *reversed(sealed)):
            for record in records:
                return int(record.call), _RECORDS[record.state]
        return 0, FREE

    def _check_record(self) -> None:
        """Hold a change of the record to the actions that the specification allows."""
        owner, record = self._stored_record()
        if (owner, record) == (self.spec.owner, self.spec.record):
            return
        name = "plan claim" if record == CLAIMED else "plan outcome"
        ways = (self.spec, self._released(self.spec))
        allowed = any(_allows(before, name, owner, record) for before in ways)
        self.spec = self.spec.after({"owner": owner, "record": record})
        if not allowed:
            raise self._broken(f"the record may not become state {record} of call {owner + 1}")
        self._check_safety()

    @staticmethod
    def _released(state: State) -> State:
        """Return the state after the outcome that a batch may hold before the claim it shows."""
        if state.record == CLAIMED and state.out[state.owner] == NOT_RUN:
            return state.after({"record": NOT_RUN})
        return state

    def _check_safety(self) -> None:
        sorts = Sorts(names=(CLAIM,), sizes={CLAIM: CLAIMS})
        promises = safety(self.spec, sorts) | claim_invariant(self.spec, sorts)
        for name, holds in promises.items():
            if not holds:
                raise self._broken(name)

    def _broken(self, promise: str) -> PromiseBrokenError:
        self.failed = True
        type(self).last_trace = tuple(self.trace)
        return PromiseBrokenError(promise)

    def _note(self, step: str) -> None:
        self.trace.append(step)

    def teardown(self) -> None:
        """When all goes well at last, every call ends and the key is settled or usable."""
        if self.failed:
            return
        steps = sum(1 for _ in self._until_quiet())
        if steps == QUIET_LIMIT:
            raise self._broken("the hosts come to rest")
        stuck = self.spec.record == CLAIMED and self.spec.phase[self.spec.owner] == OVER
        if stuck and self.callers[self.spec.owner] in self.hosts:
            raise self._broken("a call that was told not run leaves its key usable")

    def _until_quiet(self) -> Iterator[None]:
        for _ in range(QUIET_LIMIT):
            quiet = not self.flights
            self._tick() if quiet else self._advance(self.flights[0])
            settled = all(host.claimer.unreported == 0 for host in self.hosts)
            if quiet and settled and not self.flights and not self._waiting():
                return
            yield

    def _waiting(self) -> int:
        return sum(host.owner.waiting for host in self.hosts)


QUIET_LIMIT = 800
"""Steps after which undisturbed hosts must have come to rest."""


def _allows(before: State, name: str, owner: int, record: int) -> bool:
    """Whether the specification lets a record follow by one action."""
    if record in (DONE, UNKNOWN) and before.out[owner] in (DONE, UNKNOWN):
        # An outcome may be written although a later one is on its way.
        out = (*before.out[:owner], record, *before.out[owner + 1 :])
        before = before.after({"out": out})
    step = next(action.step for action in actions("") if action.name == name)
    guard, _ = step(before, 0, owner)
    return bool(guard) and (record == CLAIMED or before.out[owner] == record)


def _call(number: int) -> CallId:
    return CallId(str(number))


@contextmanager
def tiny_segments() -> Iterator[None]:
    """Freeze the open segment after every record."""
    with patch.object(_layout, "FREEZE_BYTES", 2):
        yield
