"""The program ``azureswitch-standin-hosts``."""

from cleo.helpers import option

from azureswitch.programs import run_program
from azureswitch.settings import Seconds
from azureswitch_standins._program import StandinProgram
from azureswitch_standins.hosts._fake import DEFAULT_LAG
from azureswitch_standins.hosts._http import HostListStandin


class HostsProgram(StandinProgram):
    """Serves a host list, empty at first."""

    name = "azureswitch-standin-hosts"
    description = "Stand-in for the platform's host list."
    options = [  # noqa: RUF012 - cleo's own way to declare them.
        *StandinProgram.options,
        option("lag", description=f"Seconds behind the truth, else {DEFAULT_LAG:g}.", flag=False),
    ]

    def standin(self) -> HostListStandin:
        """Return the host list."""
        lag = self.value("lag", Seconds(), default=DEFAULT_LAG)
        return HostListStandin(lag=lag, host=self.host, port=self.port)


def main() -> int:
    """Serve a host list until SIGTERM or SIGINT, and return the exit code."""
    return run_program(HostsProgram())
