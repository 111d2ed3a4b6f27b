"""The initial state of the serving reducer of a gateway."""

from time import time

from azureswitch.gateway._settings import GatewaySettings
from azureswitch.serving import HostSelf, RetryBudget, ServingState

DIGEST_PERIOD_SECONDS = 0.8
"""Seconds between periodic digests; two in a row may be lost.  Changes are sent immediately."""

DEADLINE_MARGIN_SECONDS = 0.02
"""Seconds before its deadline at which a request is ended; a busy loop is late by half of this."""


def initial_state(settings: GatewaySettings, *, seed: int) -> ServingState:
    """Return the state of a reducer that has seen no event.

    Args:
        settings: The startup settings.
        seed: Seeds every random choice.
    """
    started = int(time() * 1_000)
    retries = RetryBudget(
        share=settings.retry_share,
        burst=settings.retry_burst / settings.hosts,
        fleet_burst=settings.retry_burst,
    )
    return ServingState(
        myself=HostSelf(name=settings.host, place=settings.place, started=started),
        seed=seed,
        retries=retries,
        digest_period=DIGEST_PERIOD_SECONDS,
        lean=True,
        deadline_margin=DEADLINE_MARGIN_SECONDS,
        full_hosts=settings.full_hosts,
        fleet_hosts=settings.hosts,
        # A request names the start of the target that may run it; any other one answers 421.
        unique_names=True,
    )
