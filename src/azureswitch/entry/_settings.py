"""The settings of an entry host."""

from enum import Enum
from pathlib import Path

from msgspec import Struct, field

from azureswitch.core import HostName, PlaceName
from azureswitch.settings import (
    NAME,
    Address,
    Choice,
    HostPort,
    Integer,
    Seconds,
    Setting,
    Table,
    read,
)


class LogLevel(Enum):
    """How much is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class Limits(Struct, frozen=True, kw_only=True):
    """What one caller may ask of a host.

    Attributes:
        header_bytes: Bytes of request line and headers.
        body_bytes: Bytes of a body, whatever the rules allow.
        buffer_bytes: Bytes of a streamed answer kept for a caller that reads slowly.
        answer_bytes: Bytes kept of a whole answer or of a job's.
        read_timeout: Seconds that a caller may pause while it sends a request.
        write_timeout: Seconds that a caller may leave a streamed answer unread.
        job_retention: Seconds for which the answer of an ended job is kept on this host.
        memory_bytes: Bytes of memory that the process may use; zero for what the machine permits.
    """

    header_bytes: int = 32_768
    body_bytes: int = 33_554_432
    buffer_bytes: int = 262_144
    answer_bytes: int = 16_777_216
    read_timeout: float = 20.0
    write_timeout: float = 30.0
    job_retention: float = 600.0
    memory_bytes: int = 0


class EntrySettings(Struct, frozen=True, kw_only=True):
    """Who an entry host is and where it finds the rest.

    Attributes:
        host: The host's name.
        place: The failure domain that it runs in.
        region: The region of the place.
        callers: Where it listens for callers.
        peers: Where it listens for other hosts.
        operations: Where it serves health, status and metrics.
        store: The platform's object store.
        hosts: The platform's host list.
        limits: What one caller may ask.
        drain_notice: Seconds for which a leaving host still answers after its readiness fails.
        log_level: How much is logged.
    """

    host: HostName
    place: PlaceName
    region: str
    callers: Address
    peers: Address
    operations: Address
    store: Address
    hosts: Address
    limits: Limits = field(default_factory=Limits)
    drain_notice: float = 5.0
    log_level: LogLevel = LogLevel.INFO


_HOST = Setting(section="host", key="name", kind=NAME, help="The host's name, unique in the fleet.")
_PLACE = Setting(section="host", key="place", kind=NAME, help="The failure domain it runs in.")
_REGION = Setting(section="host", key="region", kind=NAME, help="The region of the place.")
_CALLERS = Setting(
    section="listen",
    key="callers",
    kind=HostPort(any_port=True),
    help="Where callers reach it, behind the balancer.",
)
_PEERS = Setting(
    section="listen",
    key="peers",
    kind=HostPort(any_port=True),
    help="Where other hosts reach it, by TCP and UDP.",
)
_OPERATIONS = Setting(
    section="listen",
    key="operations",
    kind=HostPort(any_port=True),
    help="Where it serves health, status and metrics; keep callers away from it.",
)
_STORE = Setting(
    section="platform", key="store", kind=HostPort(), help="The platform's object store."
)
_HOSTS = Setting(section="platform", key="hosts", kind=HostPort(), help="The platform's host list.")
_DEFAULTS = Limits()
_HEADER_BYTES = Setting(
    section="limits",
    key="header_bytes",
    kind=Integer(low=1_024, high=1_048_576),
    default=_DEFAULTS.header_bytes,
    unit="bytes",
    help="Request line and headers over this are refused.",
)
_BODY_BYTES = Setting(
    section="limits",
    key="body_bytes",
    kind=Integer(low=1_024, high=268_435_456),
    default=_DEFAULTS.body_bytes,
    unit="bytes",
    help="Bodies over this are refused, whatever the rules allow.",
)
_BUFFER_BYTES = Setting(
    section="limits",
    key="buffer_bytes",
    kind=Integer(low=4_096, high=16_777_216),
    default=_DEFAULTS.buffer_bytes,
    unit="bytes",
    help="How much of a stream is kept for a caller that reads slowly, before the engine waits.",
)
_ANSWER_BYTES = Setting(
    section="limits",
    key="answer_bytes",
    kind=Integer(low=65_536, high=268_435_456),
    default=_DEFAULTS.answer_bytes,
    unit="bytes",
    help="How much of a whole answer, or of a job's, is kept.",
)
_READ_TIMEOUT = Setting(
    section="limits",
    key="read_timeout",
    kind=Seconds(low=0.01, high=600),
    default=_DEFAULTS.read_timeout,
    help="How long a caller may pause while it sends a request.",
)
_WRITE_TIMEOUT = Setting(
    section="limits",
    key="write_timeout",
    kind=Seconds(low=0.01, high=600),
    default=_DEFAULTS.write_timeout,
    help="How long a caller may leave a streamed answer unread.",
)
_JOB_RETENTION = Setting(
    section="limits",
    key="job_retention",
    kind=Seconds(low=1, high=86_400),
    default=_DEFAULTS.job_retention,
    help="How long the answer of an ended job is kept on the host that ran it.",
)
_MEMORY_BYTES = Setting(
    section="limits",
    key="memory_bytes",
    kind=Integer(low=0, high=1_099_511_627_776),
    default=_DEFAULTS.memory_bytes,
    unit="bytes",
    help="Memory that the process may use, half of it for requests; 0 for what the machine has.",
)
_DRAIN_NOTICE = Setting(
    section="shutdown",
    key="drain_notice",
    kind=Seconds(low=0, high=600),
    default=5.0,
    help="How long a leaving host still answers after its readiness fails.",
)
_LOG_LEVEL = Setting(
    section="log",
    key="level",
    kind=Choice(options=LogLevel),
    default=LogLevel.INFO,
    help="How much is logged.",
)

ENTRY_TABLE = Table(
    title="Settings of an entry host",
    settings=(
        _HOST,
        _PLACE,
        _REGION,
        _CALLERS,
        _PEERS,
        _OPERATIONS,
        _STORE,
        _HOSTS,
        _HEADER_BYTES,
        _BODY_BYTES,
        _BUFFER_BYTES,
        _ANSWER_BYTES,
        _READ_TIMEOUT,
        _WRITE_TIMEOUT,
        _JOB_RETENTION,
        _MEMORY_BYTES,
        _DRAIN_NOTICE,
        _LOG_LEVEL,
    ),
)
"""What a settings file of an entry host may hold."""


def read_settings(path: Path) -> EntrySettings:
    """Read the settings of an entry host.

    Args:
        path: The file.

    Returns:
        The settings.

    Raises:
        SettingsError: The file was refused; the error names file, section and key.
    """
    values = read(path, ENTRY_TABLE)
    return EntrySettings(
        host=HostName(values.get(_HOST)),
        place=PlaceName(values.get(_PLACE)),
        region=values.get(_REGION),
        callers=values.get(_CALLERS),
        peers=values.get(_PEERS),
        operations=values.get(_OPERATIONS),
        store=values.get(_STORE),
        hosts=values.get(_HOSTS),
        limits=Limits(
            header_bytes=values.get(_HEADER_BYTES),
            body_bytes=values.get(_BODY_BYTES),
            buffer_bytes=values.get(_BUFFER_BYTES),
            answer_bytes=values.get(_ANSWER_BYTES),
            read_timeout=values.get(_READ_TIMEOUT),
            write_timeout=values.get(_WRITE_TIMEOUT),
            job_retention=values.get(_JOB_RETENTION),
            memory_bytes=values.get(_MEMORY_BYTES),
        ),
        drain_notice=values.get(_DRAIN_NOTICE),
        log_level=values.get(_LOG_LEVEL),
    )
