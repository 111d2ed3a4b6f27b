"""Callers in virtual time who give up, and who come back once after a refusal."""

from collections.abc import Iterable
from dataclasses import dataclass
from functools import partial

from msgspec.structs import replace

from azureswitch.core import CallId, Effect, HostName, PlaceName
from azureswitch.exceptions import AzureswitchError
from azureswitch.inventory import EnginePace
from azureswitch.serving import (
    Call,
    CallerLeft,
    CancelAttempt,
    FinishCall,
    PeersChanged,
    ServingEvent,
    ServingState,
)
from tests.serving.batching import Request, Workload
from tests.serving.engines import Simulation

MAX_TRIES = 2
"""Times that a caller sends a request: the first one and one retry."""

RECONNECT_SECONDS = 0.01
"""Seconds that a caller takes to open a new connection."""

GAP_SECONDS = 2.0
"""Gap without an event that each caller tolerates, also before the first one."""


DETECTION_SECONDS = 1.0
"""Seconds until hosts know that others have died."""


@dataclass(slots=True, kw_only=True)
class Caller:
    """What one caller has sent and was told.

    Attributes:
        request: Its request.
        call: The call that it sent last.
        host: The host that received this call.
        tries: How often it has sent the request.
        sent: When it sent this call.
        refused: When it was first refused, or None.
        told: Whether it came back as it was told after a refusal.
        over: Whether it has its answer or has given up.
    """

    request: Request
    call: Call
    host: ServingState | None = None
    tries: int = 0
    sent: float = 0.0
    refused: float | None = None
    told: bool = False
    over: bool = False

    @property
    def patience(self) -> float:
        """Seconds without an event that the caller tolerates."""
        kind = self.request.kind
        return max(GAP_SECONDS, 4.0 * kind.objective, 8.0 * kind.max_pause)


class CallerSimulation(Simulation):
    """Simulates callers who give up after a gap and retry once on a new connection.

    Args:
        pace: Pace of the engines.
        engines: Number of engines.
        hosts: Number of hosts.
        seed: Seed of the load and the hosts.
        queue: Requests that wait at an engine for one of its slots at most.
        overload_control: Whether hosts control overload.
        obedient: Whether callers respect the time after which they are told to come back.
        end_delay: Seconds until hosts learn that attempts of other hosts have ended.
        share_digests: Whether hosts exchange digests.
        customers: The customers of the configuration.
    """

    def __init__(
        self,
        *,
        pace: EnginePace,
        engines: int,
        hosts: int,
        seed: int,
        queue: int = 8,
        overload_control: bool = False,
        obedient: bool = True,
        end_delay: float = 0.0,
        share_digests: bool = True,
        customers: Iterable[str] = (),
    ) -> None:
        super().__init__(
            pace=pace,
            engines=engines,
            hosts=hosts,
            seed=seed,
            queue=queue,
            overload_control=overload_control,
            end_delay=end_delay,
            share_digests=share_digests,
            customers=customers,
        )
        self.callers: list[Caller] = []
        self._by_call: dict[CallId, Caller] = {}
        self._obedient = obedient

    def on_time(self, kinds: Iterable[Workload], *, start: float, end: float) -> float:
        """Return the requests a second that arrived in a period and were on time."""
        count = sum(
            request.on_time
            for request in self.requests
            if request.kind in kinds and start <= request.arrived < end
        )
        return count / (end - start)

    def share_on_time(self, customer: str) -> float:
        """Return the share of a customer's requests that were on time."""
        mine = [c.request.on_time for c in self.callers if c.call.customer == customer]
        return sum(mine) / len(mine)

    def kill_at(self, at: float, count: int) -> None:
        """Kill some hosts at a time; their callers see their connections close and retry once."""
        self._schedule(at, partial(self._kill, count))

    def _kill(self, count: int) -> None:
        killed, self._hosts = self._hosts[:count], self._hosts[count:]
        for caller in list(self._by_call.values()):
            if any(caller.host is host for host in killed):
                self._abandon(caller)
        names = tuple(host.myself.name for host in self._hosts)
        changed = partial(self._change_peers, names)
        self._schedule(self.now + DETECTION_SECONDS, changed)

    def _change_peers(self, names: tuple[HostName, ...]) -> None:
        for host in self._hosts:
            self._reduce(host, PeersChanged(now=self.now, hosts=names))

    def _send(self, request: Request, call: Call, place: PlaceName | None) -> None:
        caller = Caller(request=request, call=replace(call, fingerprint=call.id))
        self.callers.append(caller)
        self._try(caller)

    def _try(self, caller: Caller) -> None:
        caller.tries += 1
        request = caller.request
        call = replace(caller.call, id=CallId(f"{caller.call.fingerprint}-{caller.tries}"))
        caller.call = call
        caller.sent = request.last_event = self.now
        request.call = call.id
        request.left = request.kind.events
        request.first = None
        self._by_call[call.id] = caller
        self._schedule(self.now + caller.patience, partial(self._check, caller, caller.tries))
        super()._send(request, call, None)

    def _deliver_call(self, host: ServingState, call: Call) -> None:
        self._by_call[call.id].host = host
        super()._deliver_call(host, call)

    def _check(self, caller: Caller, number: int) -> None:
        """Let a caller give up who has had no event for too long."""
        if caller.tries != number or caller.call.id not in self._by_call:
            return
        due = min(caller.request.last_event + caller.patience, caller.call.deadline)
        if due > self.now + 1e-6:
            self._schedule(due, partial(self._check, caller, number))
            return
        assert caller.host is not None
        host = caller.host
        left = CallerLeft(now=self.now, call=caller.call.id)
        self._abandon(caller)
        self._reduce(host, left)

    def _abandon(self, caller: Caller) -> None:
        """Close a caller's connection, and let it retry if it has not yet."""
        self._by_call.pop(caller.call.id, None)
        for engine in self._engines.values():
            engine.remove(caller.request)
        caller.request.left = max(1, caller.request.left)
        self._retry(caller, 0.0)

    def _retry(self, caller: Caller, seconds: float) -> None:
        left = caller.call.deadline - self.now
        if caller.tries >= MAX_TRIES or left <= 0.0:
            caller.over = True
            return
        told = 0.0 < seconds <= left / 3.0 and self._obedient
        caller.told = told
        wait = min(seconds, left / 3.0) if self._obedient else 0.0
        self._schedule(self.now + RECONNECT_SECONDS + wait, partial(self._try, caller))

    def _reduce(self, host: ServingState, event: ServingEvent) -> None:
        if any(host is other for other in self._hosts):
            super()._reduce(host, event)

    def _execute(self, host: ServingState, effect: Effect) -> None:
        if isinstance(effect, CancelAttempt):
            self._cancel(effect)
        elif isinstance(effect, FinishCall):
            self._finish(effect.call, effect.error)
        else:
            super()._execute(host, effect)

    def _cancel(self, effect: CancelAttempt) -> None:
        request = self._calls[effect.call]
        for target in effect.targets:
            self._engines[target].remove(request)

    def _finish(self, call: CallId, error: AzureswitchError | None) -> None:
        caller = self._by_call.pop(call, None)
        if caller is None:
            return
        if error is None:
            caller.over = True
            return
        if caller.refused is None:
            caller.refused = self.now - caller.sent
        self._retry(caller, error.retry_after or 0.0)
