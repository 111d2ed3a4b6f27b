"""The gauges of a gateway."""

from collections.abc import Callable, Iterable

from azureswitch.gateway._model import Deployment
from azureswitch.gateway._process import peak_memory
from azureswitch.gateway._shell import Shell
from azureswitch.gateway._tickets import Tickets
from azureswitch.inventory import Target, TargetRole
from azureswitch.logs import Log
from azureswitch.metrics import Metrics, watch_buffers, watch_evacuations
from azureswitch.paths import Paths
from azureswitch.server import HttpServer

TUNNELS_HELP = "Open tunnels to targets, by which host uses them: this one, or another one."


def register_gauges(
    metrics: Metrics,
    *,
    shell: Shell,
    tickets: Tickets,
    log: Log,
    paths: Paths,
    callers: HttpServer,
    targets: Callable[[], Iterable[Target]],
    deployment: Callable[[], Deployment | None],
) -> None:
    """Register the gauges that are read whenever the metrics are shown.

    Args:
        metrics: The metrics.
        shell: Runs the requests.
        tickets: Reserves memory on engines.
        log: Receives the log entries.
        paths: Connects to the targets.
        callers: Serves callers.
        targets: Returns the listed targets.
        deployment: Returns the configuration in force, or None before the first.
    """

    def version() -> int:
        configuration = deployment()
        return configuration.version if configuration else 0

    def count(role: TargetRole) -> int:
        return sum(target.role is role for target in targets())

    gauges: tuple[tuple[str, str, Callable[[], float]], ...] = (
        (
            "quarantined_requests",
            "Requests that are sent to no target, since targets crashed under them.",
            lambda: shell.quarantined,
        ),
        (
            "quarantined_parts",
            "Parts of prompts whose requests are sent to no target, since targets crashed.",
            lambda: shell.quarantined_parts,
        ),
        (
            "peak_memory_bytes",
            "The most memory that this process has used.",
            peak_memory,
        ),
        (
            "caller_connections",
            "Connections of callers that are open.",
            lambda: callers.connections,
        ),
        ("open_requests", "Requests that have not been answered.", lambda: shell.open_calls),
        ("configuration_version", "The configuration in force; zero for none.", version),
        (
            "targets_serving",
            "Targets that take new work.",
            lambda: count(TargetRole.SERVING),
        ),
        ("targets_draining", "Targets that leave.", lambda: count(TargetRole.DRAINING)),
        (
            "targets_limited",
            "Targets that name a limit of the requests that they take.",
            lambda: len(shell.limits),
        ),
        (
            "targets_cold",
            "Targets that are cold and therefore get few requests.",
            lambda: len(shell.cold_targets),
        ),
        (
            "targets_ejected",
            "Targets that are avoided since attempts of this host failed.",
            lambda: shell.ejected,
        ),
        (
            "targets_suspected",
            "Targets that are avoided since another host reports them.",
            lambda: shell.suspected,
        ),
        (
            "targets_without_path",
            "Targets that are reached through other hosts alone.",
            lambda: len(paths.lost),
        ),
        (
            "retries_left",
            "Retries that the budget of this host permits now.",
            lambda: shell.retries_left,
        ),
        (
            "tickets_held",
            "Reservations of engines' memory that are held.",
            lambda: tickets.held,
        ),
        (
            "loop_lag_seconds",
            "How late the last regular step of the process was.",
            lambda: shell.lag,
        ),
        (
            "log_lines_left_out",
            "Lines of the log that its volume did not permit.",
            lambda: log.left_out,
        ),
    )
    for name, help, value in gauges:
        metrics.watch(name=name, help=help, value=value)
    metrics.watch(name="tunnels_open", help=TUNNELS_HELP, value=lambda: paths.used, user="this")
    metrics.watch(name="tunnels_open", help=TUNNELS_HELP, value=lambda: paths.carried, user="other")
    watch_buffers(metrics, unfinished=callers.unfinished)
    watch_evacuations(metrics, evacuations=lambda: shell.evacuations)
