"""Messages in which hosts gossip their serving state."""

from msgspec import Struct

from azureswitch.core import CustomerName, HostName, PlaceName, ServiceName, TargetName


class TargetLoad(Struct, frozen=True, kw_only=True):
    """The outstanding work of one host at one target, in engine seconds.

    Attributes:
        target: The target.
        urgent: Work with short prompts.
        total: All work.
        middle: Work with prompts of the middle length class.
        tokens: Tokens of memory that running attempts may take.
    """

    target: TargetName
    urgent: float
    total: float
    middle: float = 0.0
    tokens: int = 0


class Occupancy(Struct, frozen=True, kw_only=True):
    """The load of a host's own attempts on one target.

    Attributes:
        target: The target.
        reading: Seconds of prefill of longer prompts that has not finished.
        short_reading: Seconds of prefill of short prompts that has not finished.
        streams: Attempts with short prompts, and plain ones, that have not ended.
        long_streams: Attempts with longer prompts that have not ended.
        tokens: Tokens of memory that these attempts may take.
    """

    target: TargetName
    reading: float = 0.0
    short_reading: float = 0.0
    streams: int = 0
    long_streams: int = 0
    tokens: int = 0


class TargetStart(Struct, frozen=True, kw_only=True, order=True):
    """The start of a target that a host refers to.

    Attributes:
        target: The target.
        started: Its start, in milliseconds of its wall clock.
    """

    target: TargetName
    started: int


class CustomerUse(Struct, frozen=True, kw_only=True):
    """The work that one host has admitted for a customer since it started, in engine seconds."""

    customer: CustomerName
    seconds: float


class Demand(Struct, frozen=True, kw_only=True):
    """The smoothed rate of work that one host admits for a model, in prefill seconds per second.

    Attributes:
        service: The service.
        model: The model.
        short: The rate of short prompts.
        long: The rate of long prompts.
    """

    service: ServiceName
    model: str
    short: float
    long: float


class CrashReport(Struct, frozen=True, kw_only=True):
    """The targets at which attempts at a request, or at requests with one part, were interrupted.

    Attributes:
        customer: The customer that sent it.
        fingerprint: That of the request or of the part, as in `Call`.
        crashes: The starts of targets at which it was interrupted, or a selection of them where
            there are many; a start is zero where the target does not announce it.
        cleared: Such starts of which the request was cleared, as a target answered it later.
        age: Seconds since it was last interrupted.
        ages: Seconds since each of ``crashes``; hosts of an older version leave them out.
        trial_age: Seconds since a host last sent it to find out whether it still crashes targets,
            or None for never; hosts of an older version leave it out.
    """

    customer: CustomerName
    fingerprint: str
    crashes: tuple[TargetStart, ...] = ()
    cleared: tuple[TargetStart, ...] = ()
    age: float = 0.0
    ages: tuple[float, ...] = ()
    trial_age: float | None = None


class LimitReport(Struct, frozen=True, kw_only=True):
    """The rate limit that a target last announced, for all hosts together.

    Attributes:
        target: The target.
        started: Its start, or zero where it does not announce one.
        rate: Requests per second, or None where the limit has ended.
        age: Seconds since a host observed it.
    """

    target: TargetName
    started: int
    rate: float | None
    age: float


class Grant(Struct, frozen=True, kw_only=True):
    """The answer of the host that issues permits to send to a target.

    Attributes:
        after: Seconds after which the permit may be used.
        valid: Seconds of validity from then on; zero where no permit is issued.
        pause: Seconds after which to ask again where no permit is issued.
    """

    after: float = 0.0
    valid: float = 0.0
    pause: float = 0.0


class Digest(Struct, frozen=True, kw_only=True):
    """The serving state of a host, for its peers.

    Attributes:
        host: The host.
        sequence: Increases with every digest of one incarnation.
        started: The incarnation's start.
        loads: Outstanding work per target; targets with none are left out.
        uses: Work admitted per customer; customers without a recent change are left out.
        suspects: Targets that this host avoids as they failed.
        demands: Demand by model.
        saved: Targets whose memory is reserved for a prompt larger than the memory of one target.
        occupancies: The load of this host's attempts per target; idle ones are left out.
        starts: The starts of the targets named above; unknown ones are left out.
        crashes: Requests under which targets crashed.
        limits: The rate limits that targets announced.
    """

    host: HostName
    sequence: int
    started: int
    loads: tuple[TargetLoad, ...] = ()
    uses: tuple[CustomerUse, ...] = ()
    suspects: tuple[TargetName, ...] = ()
    demands: tuple[Demand, ...] = ()
    saved: tuple[TargetName, ...] = ()
    occupancies: tuple[Occupancy, ...] = ()
    starts: tuple[TargetStart, ...] = ()
    crashes: tuple[CrashReport, ...] = ()
    limits: tuple[LimitReport, ...] = ()

    @property
    def targets(self) -> tuple[TargetName, ...]:
        """The targets of loads, suspects, saved and occupancies, once each, in a fixed order.

        Receivers reproduce this order.
        """
        names = [load.target for load in self.loads]
        names += self.suspects
        names += self.saved
        names += [item.target for item in self.occupancies]
        return tuple(dict.fromkeys(names))


class DomainTotals(Struct, frozen=True, kw_only=True):
    """The load of all hosts at the targets of one failure domain, as known to a host there.

    Attributes:
        place: The failure domain.
        occupancies: The load per target; idle ones are left out.
    """

    place: PlaceName
    occupancies: tuple[Occupancy, ...] = ()
