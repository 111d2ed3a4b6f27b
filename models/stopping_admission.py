"""The product's own admission, as a host asks it that was told to stop."""

from azureswitch.core import CallId, CustomerName, HostName, PlaceName, ServiceName, TargetName
from azureswitch.exceptions import LeavingError
from azureswitch.gateway import _stopping
from azureswitch.inventory import (
    EnginePace,
    Inventory,
    Place,
    Rules,
    Service,
    ServiceKind,
    Snapshot,
    Target,
)
from azureswitch.serving import (
    Call,
    HostSelf,
    ServingState,
    ShutdownBegan,
    SnapshotAdopted,
    _admission,
    reduce,
)

TOKEN_SECONDS = 0.001
"""Seconds that a token takes here; a request of so many seconds asks for so many tokens."""

PACE = EnginePace(step=TOKEN_SECONDS, read_rate=1e9, slots=8, memory=1_000_000)

HOST = HostName("host 1")
PLACE = PlaceName("a")
SERVICE = ServiceName("model")
MODEL = "base"


class Admission:
    """What a host that was told to stop at second zero begins.

    Args:
        grace: Seconds until the process is killed.
    """

    def __init__(self, *, grace: float) -> None:
        self._state = ServingState(
            myself=HostSelf(name=HOST, place=PLACE, started=1), seed=1, lean=True
        )
        reduce(self._state, SnapshotAdopted(now=0.0, snapshot=_snapshot()))
        until = _stopping.begin_stop(now=0.0, grace=grace).end
        reduce(self._state, ShutdownBegan(now=0.0, until=until))
        self._known: dict[tuple[int, int], bool] = {}

    def admits(self, length: int, *, at: int) -> bool:
        """Return whether a request is begun.

        Args:
            length: Seconds that it takes.
            at: Seconds since the signal.
        """
        key = (length, at)
        if key not in self._known:
            error = _admission.refusal(self._state, _call(length), now=float(at))
            if error is not None and not isinstance(error, LeavingError):
                raise error
            self._known[key] = error is None
        return self._known[key]


def _call(length: int) -> Call:
    return Call(
        id=CallId("call"),
        customer=CustomerName(""),
        service=SERVICE,
        model=MODEL,
        prompt_tokens=1,
        output_tokens=round(length / TOKEN_SECONDS),
        deadline=float("inf"),
        unshared=True,
    )


def _snapshot() -> Snapshot:
    target = Target(
        name=TargetName("target 1"),
        service=SERVICE,
        place=PLACE,
        address="target",
        models=(MODEL,),
        memory=PACE.memory,
    )
    inventory = Inventory(
        places=(Place(name=PLACE, region="r"),),
        services=(Service(name=SERVICE, kind=ServiceKind.MODEL, pace=PACE),),
        targets=(target,),
    )
    return Snapshot(revision=1, inventory=inventory, rules=Rules())
