"""The state of the serving reducer: calls, attempts, timers and the parts of the policy."""

from math import inf
from random import Random

from msgspec.structs import replace

from azureswitch.core import CallId, TargetName
from azureswitch.inventory import Rules, Snapshot
from azureswitch.serving._affinity import PrefixIndex
from azureswitch.serving._cost import CostModel
from azureswitch.serving._departures import Departures
from azureswitch.serving._domains import Domains
from azureswitch.serving._events import Call, HostSelf
from azureswitch.serving._fairness import Fairness
from azureswitch.serving._fleet import Fleet
from azureswitch.serving._ledger import Ledger
from azureswitch.serving._length import Split
from azureswitch.serving._limits import Limits
from azureswitch.serving._penalties import PauseTracker
from azureswitch.serving._permits import Permits
from azureswitch.serving._queue import WaitingQueue
from azureswitch.serving._retries import RetryBudget
from azureswitch.serving._starts import Starts
from azureswitch.serving.calls import CallRecord, Timers
from azureswitch.serving.evacuation import Evacuations
from azureswitch.serving.quarantine import Crashes
from azureswitch.serving.warmup import WarmupLimiter

DIGEST_PERIOD = 0.2
"""Default interval in seconds between regular digests."""

ABANDONED_CLAIM_SECONDS = 600.0
"""Seconds for which the claim of an abandoned call is awaited, to be settled as not run."""


DEADLINE_MARGIN = 0.05
"""Default seconds before its deadline at which a call is ended; the interval of `Ticked` events."""


class ServingState:
    """The state of the serving reducer of one host.

    Args:
        myself: This host.
        seed: Seeds every random choice.
        retries: The retry budget, or None for the default one.
        digest_period: Seconds between two regular digests.
        lean: Whether digests leave out loads, customers' use, demand and reserved memory, for hosts
            that neither limit customers nor split engines by demand.
        deadline_margin: Seconds before its deadline at which a call is ended.
        full_hosts: Fleet size up to which all hosts receive all digests; in a larger fleet they go
            to the failure domains concerned.
        fleet_hosts: Assumed number of hosts until the others are known.
        unique_names: Whether each start of a target has a name of its own.
    """

    def __init__(
        self,
        *,
        myself: HostSelf,
        seed: int,
        retries: RetryBudget | None = None,
        digest_period: float = DIGEST_PERIOD,
        lean: bool = False,
        deadline_margin: float = DEADLINE_MARGIN,
        full_hosts: float = inf,
        fleet_hosts: int = 1,
        unique_names: bool = False,
    ) -> None:
        self._myself = myself
        self._random = Random(seed)
        self._snapshot: Snapshot | None = None
        self._closes_at = inf
        self._stops_at = inf
        self._leaving_since = inf
        self._calls: dict[CallId, CallRecord] = {}
        self._abandoned_claims: dict[CallId, float] = {}
        self._timers = Timers()
        self._fleet = Fleet(myself=myself)
        self._costs = CostModel()
        self._affinity = PrefixIndex()
        self._fairness = Fairness(myself=myself)
        self._queue = WaitingQueue()
        self._split = Split()
        self._retries = retries or RetryBudget()
        self._starts = Starts()
        self._departures = Departures()
        self._ledger = Ledger(starts=self._starts)
        self._domains = Domains(own=myself.place, full_hosts=full_hosts)
        self._evacuations = Evacuations()
        self._pauses = PauseTracker()
        self._crashes = Crashes(host=myself.name, unique_names=unique_names)
        self._limits = Limits(starts=self._starts)
        self._permits = Permits(
            host=myself.name, fleet_hosts=fleet_hosts, limits=self._limits, random=self._random
        )
        self._warmup = WarmupLimiter(host=myself.name, fleet_hosts=fleet_hosts)
        self._digest_period = digest_period
        self._lean = lean
        self._deadline_margin = deadline_margin
        self._digest_sequence = 0
        self._digest_due = 0.0

    @property
    def myself(self) -> HostSelf:
        """This host."""
        return self._myself

    @property
    def random(self) -> Random:
        """The random number generator of every random choice."""
        return self._random

    @property
    def snapshot(self) -> Snapshot | None:
        """The configuration in force, or None before the first."""
        return self._snapshot

    @property
    def rules(self) -> Rules:
        """The rules in force, or the defaults before the first configuration."""
        return self._snapshot.rules if self._snapshot else Rules()

    @property
    def closes_at(self) -> float:
        """When this host stops accepting new calls, or infinity where it does not."""
        return min(self._closes_at, self._stops_at)

    @property
    def stops_at(self) -> float:
        """When this host ends its open calls, or infinity where it does not stop."""
        return self._stops_at

    @property
    def leaving_since(self) -> float:
        """Since when this host has been draining, or infinity where it is not."""
        return self._leaving_since

    def ends_at(self, call: Call) -> float:
        """Return when a call is ended, early enough for its caller to get the error in time."""
        return call.deadline - self._deadline_margin

    def ends_by(self, call: Call) -> float:
        """Return when a call must have ended: at its deadline, or before this host stops."""
        return min(call.deadline, self._stops_at)

    @property
    def calls(self) -> dict[CallId, CallRecord]:
        """The admitted calls that have not finished."""
        return self._calls

    @property
    def timers(self) -> Timers:
        """The timers of the open calls."""
        return self._timers

    @property
    def fleet(self) -> Fleet:
        """The targets and their known load."""
        return self._fleet

    @property
    def costs(self) -> CostModel:
        """The cost predictions."""
        return self._costs

    @property
    def affinity(self) -> PrefixIndex:
        """The prefixes that each engine is expected to have in its cache."""
        return self._affinity

    @property
    def fairness(self) -> Fairness:
        """The engine time that each customer has used."""
        return self._fairness

    @property
    def queue(self) -> WaitingQueue:
        """The admitted calls that wait for a target."""
        return self._queue

    @property
    def split(self) -> Split:
        """The number of engines that take long prompts."""
        return self._split

    @property
    def retries(self) -> RetryBudget:
        """The retry budget, which grows with traffic."""
        return self._retries

    @property
    def pauses(self) -> PauseTracker:
        """The tightest pause objectives of streams, by service."""
        return self._pauses

    @property
    def ledger(self) -> Ledger:
        """The unfinished attempts of all hosts at each target."""
        return self._ledger

    @property
    def domains(self) -> Domains:
        """The failure domains that receive this host's digests."""
        return self._domains

    @property
    def evacuations(self) -> Evacuations:
        """The evacuated failure domains, and what still runs there."""
        return self._evacuations

    @property
    def crashes(self) -> Crashes:
        """The requests and parts of prompts under which targets have crashed."""
        return self._crashes

    @property
    def limits(self) -> Limits:
        """The rate limits that targets have announced."""
        return self._limits

    @property
    def permits(self) -> Permits:
        """The permits to send to targets with a rate limit."""
        return self._permits

    @property
    def warmup(self) -> WarmupLimiter:
        """The limits of what this host sends to cold targets."""
        return self._warmup

    @property
    def starts(self) -> Starts:
        """The known starts of targets."""
        return self._starts

    def adopt(self, snapshot: Snapshot) -> frozenset[TargetName]:
        """Adopt a configuration, unless it or a later one is in force.

        The known state of targets that have restarted is discarded.

        Returns:
            The targets that have restarted.
        """
        if self._snapshot and snapshot.revision <= self._snapshot.revision:
            return frozenset()
        self._snapshot = snapshot
        adopted = self._starts.adopt(snapshot.inventory.targets)
        targets = self._departures.apply(adopted.targets)
        inventory = replace(snapshot.inventory, targets=targets)
        self._fleet.adopt(inventory, restarted=adopted.restarted)
        self._restart(adopted.restarted)
        self._ledger.recount(adopted.learned)
        self._split.adopt(snapshot.rules)
        self._fairness.adopt(snapshot.inventory.customers)
        self._renew_pools()
        return adopted.restarted

    def note_leaving(self, target: TargetName, *, started: int) -> None:
        """Record that a target drains, so that no new work is sent to it."""
        self._departures.add(target, started=started)
        known = self._fleet.state(target)
        if known is not None:
            (known.target,) = self._departures.apply([known.target])

    def _restart(self, targets: frozenset[TargetName]) -> None:
        if not targets:
            return
        self._ledger.restart(targets)
        for target in targets:
            self._affinity.restart(target)
            self._costs.restart(target)

    def _renew_pools(self) -> None:
        """Update the pools of open calls, whose targets may have left the inventory.

        A service that has no targets now keeps none: theirs may serve another one.
        """
        for record in self._calls.values():
            call = record.call
            pool = self._fleet.pool(service=call.service, model=call.model)
            record.pool = pool or replace(record.pool, targets=())

    def close(self, *, now: float) -> None:
        """Accept no new calls; open ones continue until their deadline and may be retried."""
        self._closes_at = min(self._closes_at, now)

    def leave(self, *, now: float, until: float) -> None:
        """Drain: start nothing that cannot end by a given time, or by an earlier one set before."""
        self._leaving_since = min(self._leaving_since, now)
        self._stops_at = min(self._stops_at, until)

    def abandon_claim(self, call: CallId, *, now: float) -> None:
        """Record that a pending claim belongs to a call that was abandoned."""
        self._abandoned_claims[call] = now + ABANDONED_CLAIM_SECONDS

    def take_abandoned_claim(self, call: CallId) -> bool:
        """Remove an abandoned claim and return whether it was known."""
        return self._abandoned_claims.pop(call, None) is not None

    def expire_claims(self, now: float) -> None:
        """Forget the abandoned claims that were not answered in time; they are in order of age."""
        while self._abandoned_claims:
            call, expiry = next(iter(self._abandoned_claims.items()))
            if expiry > now:
                return
            del self._abandoned_claims[call]

    def digest_due(self, now: float) -> bool:
        """Return whether the regular digest is due."""
        return now >= self._digest_due

    @property
    def lean(self) -> bool:
        """Whether digests leave out loads, customers' use, demand and reserved memory."""
        return self._lean

    def next_digest(self, *, now: float) -> int:
        """Return the sequence number of the next digest, and schedule the one after it."""
        self._digest_due = now + self._digest_period
        self._digest_sequence += 1
        return self._digest_sequence
