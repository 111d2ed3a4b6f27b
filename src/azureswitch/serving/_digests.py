"""What hosts tell each other of their serving."""

from msgspec import Struct

from azureswitch.core import CustomerName, HostName, PlaceName, ServiceName, TargetName


class TargetLoad(Struct, frozen=True, kw_only=True):
    """What one host has outstanding at one target, in engine seconds.

    Attributes:
        target: The target.
        urgent: Work with short prompts.
        total: All work.
        middle: Work with prompts that are long, but not very long.
        tokens: Tokens of memory that running attempts may take.
    """

    target: TargetName
    urgent: float
    total: float
    middle: float = 0.0
    tokens: int = 0


class Occupancy(Struct, frozen=True, kw_only=True):
    """What attempts put on one target, as their host has it from its own sends.

    Attributes:
        target: The target.
        reading: Seconds of prompts that are still read there and were too long to be short.
        short_reading: Seconds of short prompts that are still read there.
        streams: Attempts with short prompts, and plain ones, that have not ended.
        long_streams: Attempts with longer prompts that have not ended.
        tokens: Tokens of memory that they may take.
    """

    target: TargetName
    reading: float = 0.0
    short_reading: float = 0.0
    streams: int = 0
    long_streams: int = 0
    tokens: int = 0


class TargetStart(Struct, frozen=True, kw_only=True, order=True):
    """Which start of a target a host means where it names the target.

    Attributes:
        target: The target.
        started: Its start, in milliseconds of its wall clock.
    """

    target: TargetName
    started: int


class CustomerUse(Struct, frozen=True, kw_only=True):
    """What one host has admitted for a customer since it started, in engine seconds."""

    customer: CustomerName
    seconds: float


class Demand(Struct, frozen=True, kw_only=True):
    """What one host admits for a model, in prefill seconds a second, smoothed.

    Attributes:
        service: The service.
        model: The model.
        short: For short prompts.
        long: For long prompts.
    """

    service: ServiceName
    model: str
    short: float
    long: float


class CrashReport(Struct, frozen=True, kw_only=True):
    """At which targets tries at one request broke off.

    Attributes:
        customer: Whose request it is.
        fingerprint: As in `Call`.
        crashes: The starts of targets at which it broke off, some of them where there are many; a
            start is zero where the target does not say it.
        cleared: Such starts after which a target has answered it.
        age: Seconds since it last broke off.
        ages: Seconds since each of these crashes; hosts of an older version do not tell them.
    """

    customer: CustomerName
    fingerprint: str
    crashes: tuple[TargetStart, ...] = ()
    cleared: tuple[TargetStart, ...] = ()
    age: float = 0.0
    ages: tuple[float, ...] = ()


class LimitReport(Struct, frozen=True, kw_only=True):
    """What a target said last of the requests that it takes from all hosts together.

    Attributes:
        target: The target.
        started: Its start, or zero where it does not tell.
        rate: Requests a second, or None where it names no limit any more.
        age: Seconds since a host heard it.
    """

    target: TargetName
    started: int
    rate: float | None
    age: float


class Grant(Struct, frozen=True, kw_only=True):
    """The answer of the host that hands out permits to send to a target.

    Attributes:
        after: Seconds after which the permit may be used.
        valid: For how many seconds from then on; zero where none is given.
        pause: Where none is given, seconds after which to ask again.
    """

    after: float = 0.0
    valid: float = 0.0
    pause: float = 0.0


class Digest(Struct, frozen=True, kw_only=True):
    """What a host tells its peers of its own serving.

    Attributes:
        host: The host.
        sequence: Grows with every digest of one incarnation.
        started: The incarnation's start.
        loads: Outstanding work per target; targets with none are left out.
        uses: Engine time per customer; customers with none are left out.
        suspects: Targets that this host keeps out of use.
        demands: Demand by model.
        saved: Targets whose memory is being saved for a prompt larger than one of them.
        occupancies: What this host's attempts put on targets; idle ones are left out.
        starts: Which starts of the targets named above are meant; those that do not say theirs are
            left out.
        crashes: Requests under which targets broke off.
        limits: What targets said of the requests that they take.
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
        """The targets that it names, each one once, in an order that its receivers find too."""
        names = [load.target for load in self.loads]
        names += self.suspects
        names += self.saved
        names += [item.target for item in self.occupancies]
        return tuple(dict.fromkeys(names))


class DomainTotals(Struct, frozen=True, kw_only=True):
    """What all hosts have at the targets of one failure domain, as a host there counts it.

    Attributes:
        place: The failure domain.
        occupancies: What they have at its targets; idle ones are left out.
    """

    place: PlaceName
    occupancies: tuple[Occupancy, ...] = ()
