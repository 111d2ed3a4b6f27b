"""Reports refusals because of overload to operators."""

from azureswitch.core import Effect
from azureswitch.serving._effects import AnnounceOverload, ObserveRank
from azureswitch.serving._events import Call
from azureswitch.serving.overload._assess import Refusal


def announce_refusal(call: Call, refusal: Refusal) -> list[Effect]:
    """Return the effects that log and count a refusal."""
    asked, capacity = refusal.asked, refusal.capacity
    announced = AnnounceOverload(
        call=call.id,
        customer=call.customer,
        rank=call.rank,
        above=asked.above,
        retry=asked.retry,
        reason=refusal.reason.value,
        seconds=refusal.seconds,
        first=asked.first,
        limit=asked.limit,
        slots=capacity.slots,
        taken=capacity.taken,
        reserved=sum(demand.calls for demand in refusal.demands if demand.rank < call.rank),
        hosts=capacity.hosts,
        known=capacity.known,
        age=capacity.age,
    )
    return [announced, ObserveRank(rank=call.rank, reason=refusal.reason.value)]
