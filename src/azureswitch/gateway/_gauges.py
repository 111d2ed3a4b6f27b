"""The gauges of a gateway."""

from collections.abc import Callable, Iterable

from azureswitch.gateway._model import Deployment
from azureswitch.gateway._shell import Shell
from azureswitch.gateway._tickets import Tickets
from azureswitch.inventory import Target, TargetRole
from azureswitch.logs import Log
from azureswitch.metrics import Metrics, watch_evacuations
from azureswitch.paths import Paths


def register_gauges(
    metrics: Metrics,
    *,
    shell: Shell,
    tickets: Tickets,
    log: Log,
    paths: Paths,
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
        targets: Returns the listed targets.
        deployment: Returns the configuration in force, or None before the first.
    """
    metrics.watch(
        name="quarantined_requests",
        help="Requests that are sent to no target, since targets crashed under them.",
        value=lambda: shell.quarantined,
    )
    metrics.watch(
        name="open_requests",
        help="Requests that have not been answered.",
        value=lambda: shell.open_calls,
    )
    metrics.watch(
        name="configuration_version",
        help="The configuration in force; zero for none.",
        value=lambda: configuration.version if (configuration := deployment()) else 0,
    )
    metrics.watch(
        name="targets_serving",
        help="Targets that take new work.",
        value=lambda: sum(t.role is TargetRole.SERVING for t in targets()),
    )
    metrics.watch(
        name="targets_draining",
        help="Targets that leave.",
        value=lambda: sum(t.role is TargetRole.DRAINING for t in targets()),
    )
    metrics.watch(
        name="targets_limited",
        help="Targets that name a limit of the requests that they take.",
        value=lambda: len(shell.limits),
    )
    metrics.watch(
        name="targets_cold",
        help="Targets that are cold and therefore get few requests.",
        value=lambda: len(shell.cold_targets),
    )
    metrics.watch(
        name="targets_ejected",
        help="Targets that are avoided since attempts of this host failed.",
        value=lambda: shell.ejected,
    )
    metrics.watch(
        name="targets_suspected",
        help="Targets that are avoided since another host reports them.",
        value=lambda: shell.suspected,
    )
    metrics.watch(
        name="retries_left",
        help="Retries that the budget of this host permits now.",
        value=lambda: shell.retries_left,
    )
    metrics.watch(
        name="targets_without_path",
        help="Targets that are reached through other hosts alone.",
        value=lambda: len(paths.lost),
    )
    metrics.watch(
        name="tunnels_open",
        help="Open tunnels to targets, by which host uses them: this one, or another one.",
        value=lambda: paths.used,
        user="this",
    )
    metrics.watch(
        name="tunnels_open",
        help="Open tunnels to targets, by which host uses them: this one, or another one.",
        value=lambda: paths.carried,
        user="other",
    )
    metrics.watch(
        name="tickets_held",
        help="Reservations of engines' memory that are held.",
        value=lambda: tickets.held,
    )
    metrics.watch(
        name="loop_lag_seconds",
        help="How late the last regular step of the process was.",
        value=lambda: shell.lag,
    )
    metrics.watch(
        name="log_lines_left_out",
        help="Lines of the log that its volume did not permit.",
        value=lambda: log.left_out,
    )
    watch_evacuations(metrics, evacuations=lambda: shell.evacuations)
