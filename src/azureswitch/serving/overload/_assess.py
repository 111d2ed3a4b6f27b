"""Takes from the serving state what the decision on a call depends on, and returns a refusal."""

from collections.abc import Iterable

from msgspec import Struct

from azureswitch.core import TargetName
from azureswitch.inventory import EnginePace
from azureswitch.serving._digests import Occupancy
from azureswitch.serving._events import Call
from azureswitch.serving._pace import pass_seconds, read_seconds
from azureswitch.serving._penalties import SAFE_PAUSE_SHARE
from azureswitch.serving._routing import choose
from azureswitch.serving._spreading import MAX_PARTS
from azureswitch.serving._state import CallRecord, ServingState
from azureswitch.serving._target import TargetState
from azureswitch.serving.overload._arrivals import Demand
from azureswitch.serving.overload._capacity import Capacity, TargetRoom
from azureswitch.serving.overload._decision import Asked, Reason, decide
from azureswitch.serving.overload._patience import seconds_until_left

MAX_RETURN_SECONDS = 60.0
"""Longest time after which a caller is told to come back; longer ones say nothing of the load."""

MIN_RETURN_SHARE = 0.05
"""Smallest share of the capacity that callers are told to come back for.

Calls served after they have come back are late by their first arrival, and goodput must stay within
5% of its peak.
"""


class Refusal(Struct, frozen=True, kw_only=True):
    """Why a call is refused, and what the decision rests on.

    Attributes:
        reason: The reason.
        seconds: After which its caller is told to come back.
        asked: What it asked for.
        capacity: What is left at the targets.
        demands: The demand of each rank.
    """

    reason: Reason
    seconds: float
    asked: Asked
    capacity: Capacity
    demands: tuple[Demand, ...]


def overload_refusal(
    state: ServingState, record: CallRecord, *, retry: bool = False, now: float
) -> Refusal | None:
    """Return why a call is refused because of overload, or None.

    Calls to engines whose pace is not published, and to plain targets without a number of slots,
    are never refused for this, as their capacity is unknown.

    Args:
        state: The state.
        record: The call, which has no running attempt.
        retry: Whether it is sent again.
        now: The time.
    """
    if not state.overload_control:
        return None
    call, pace = record.call, record.pool.pace
    targets = [target for target in state.fleet.states(record.pool) if target.usable(now)]
    if pace is None and (call.model or not all(target.target.slots for target in targets)):
        return None
    above = state.fairness.above_share(call.customer, now=now)
    if not retry:
        state.overload.arrivals.record(call, work=_work(record), above=above, now=now)
    choice = choose(state, record, now=now)
    before = {target.target.name: state.ledger.at(target.target.name) for target in targets}
    rooms = _rooms(targets, before, pace)
    added = {item.target: item for item in choice.occupancies} if choice else {}
    after = {name: _with(item, added.get(name)) for name, item in before.items()}
    known = 1 + state.overload.arrivals.known(now=now)
    capacity = Capacity(
        rooms=rooms,
        hosts=max(known, state.overload.hosts),
        known=known,
        age=state.overload.arrivals.oldest(now=now),
    )
    if choice is None:
        first = float("inf")
    elif pace is not None:
        first = choice.first_token
    else:
        first = _plain_first(before[choice.targets[0]], targets, choice.targets[0], record)
    asked = Asked(
        rank=call.rank,
        above=above,
        retry=retry,
        objective=call.objective,
        patience=seconds_until_left(call, now=now),
        first=first,
        idle=_idle_first(call, pace, len(targets)) if pace else record.cost.prefill,
        rooms=_rooms(targets, after, pace),
        pauses=pace is not None
        and any(_pauses(state, call, after[n], pace, now=now) for n in added),
    )
    demands = state.overload.arrivals.demands(call.service, now=now)
    reason = decide(asked, capacity, demands)
    if reason is None:
        return None
    seconds = _return_seconds(state, call, asked, capacity, demands, pace=pace, now=now)
    return Refusal(reason=reason, seconds=seconds, asked=asked, capacity=capacity, demands=demands)


def _work(record: CallRecord) -> float:
    """Return the seconds of prefill or of plain service of a call."""
    if record.pool.pace is None:
        return record.cost.prefill
    return read_seconds(record.pool.pace, record.call.prompt_tokens)


def _rooms(
    targets: Iterable[TargetState],
    occupancies: dict[TargetName, Occupancy],
    pace: EnginePace | None,
) -> tuple[TargetRoom, ...]:
    rooms = []
    for target in targets:
        item = occupancies[target.target.name]
        taken = item.streams + item.long_streams
        if pace is None:
            rooms.append(TargetRoom(slots=target.target.slots, taken=taken, wait=0.0, queued=0.0))
            continue
        queued = item.reading + item.short_reading
        writing = pass_seconds(pace) if taken else pace.step
        rooms.append(
            TargetRoom(slots=pace.slots, taken=taken, wait=writing + queued, queued=queued)
        )
    return tuple(rooms)


def _with(item: Occupancy, added: Occupancy | None) -> Occupancy:
    if added is None:
        return item
    return Occupancy(
        target=item.target,
        reading=item.reading + added.reading,
        short_reading=item.short_reading + added.short_reading,
        streams=item.streams + added.streams,
        long_streams=item.long_streams + added.long_streams,
        tokens=item.tokens + added.tokens,
    )


def _pauses(
    state: ServingState, call: Call, item: Occupancy, pace: EnginePace, *, now: float
) -> bool:
    """Return whether streams at a target pause for longer than they tolerate."""
    limits = state.pauses.limits(call.service, now=now)
    pause = pass_seconds(pace) + item.reading + item.short_reading
    return bool(item.streams and pause > SAFE_PAUSE_SHARE * limits.short) or bool(
        item.long_streams > 1 and pause > SAFE_PAUSE_SHARE * limits.long
    )


def _plain_first(
    item: Occupancy, targets: Iterable[TargetState], name: TargetName, record: CallRecord
) -> float:
    """Return the predicted seconds to the answer of a plain target."""
    slots = next(target.target.slots for target in targets if target.target.name == name)
    waiting = max(0, item.streams + 1 - slots)
    return record.cost.prefill * (1.0 + waiting / slots)


def _idle_first(call: Call, pace: EnginePace, engines: int) -> float:
    """Return the seconds to the first token if all engines were idle."""
    return pace.step + read_seconds(pace, call.prompt_tokens) / max(1, min(MAX_PARTS, engines))


def _return_seconds(
    state: ServingState,
    call: Call,
    asked: Asked,
    capacity: Capacity,
    demands: tuple[Demand, ...],
    *,
    pace: EnginePace | None,
    now: float,
) -> float:
    """Return the seconds after which capacity is expected for one more caller."""
    ahead = [demand for demand in demands if demand.rank <= call.rank]
    rate = sum(demand.rate for demand in ahead)
    busy = sum(demand.rate * demand.work for demand in ahead) / rate if rate else asked.idle
    if pace is not None:
        busy += pace.answer * pace.step
    total = capacity.slots / max(busy, 1e-3)
    left = max(MIN_RETURN_SHARE * total, total - rate) or 1e-3
    seconds = state.overload.bookings.book(
        call.service,
        interval=capacity.hosts / left,
        jitter=state.random.random(),
        now=now,
    )
    return min(MAX_RETURN_SECONDS, max(seconds, min(asked.first, asked.patience) - asked.limit))
