"""The program ``azureswitch-standin-service``."""

from cleo.helpers import option

from azureswitch.programs import run_program
from azureswitch.settings import Text
from azureswitch_standins._program import StandinProgram
from azureswitch_standins.service._http import ServiceStandin


class ServiceProgram(StandinProgram):
    """Serves one target of a plain service."""

    name = "azureswitch-standin-service"
    description = "Stand-in for a plain service."
    options = [  # noqa: RUF012 - cleo's own way to declare them.
        *StandinProgram.options,
        option("name", description="Name that answers carry, else service.", flag=False),
    ]

    def standin(self) -> ServiceStandin:
        """Return the target."""
        name = self.value("name", Text(), default="service")
        return ServiceStandin(name=name, host=self.host, port=self.port)


def main() -> int:
    """Serve a plain service until SIGTERM or SIGINT, and return the exit code."""
    return run_program(ServiceProgram())
