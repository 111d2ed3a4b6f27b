"""What the programs of all stand-ins share."""

from abc import abstractmethod
from asyncio import run

from cleo.helpers import option

from azureswitch.programs import EXIT_OK, Program
from azureswitch.settings import Integer, Text
from azureswitch_standins._web import Runnable, run_until_signal

_HOST = Text(form="an IP address")
_PORT = Integer(low=0, high=65_535)


class StandinProgram(Program):
    """Serves one stand-in until SIGTERM or SIGINT."""

    options = [  # noqa: RUF012 - cleo's own way to declare them.
        option("host", description="IP to listen on, else 127.0.0.1.", flag=False),
        option("port", description="Port to listen on, else any.", flag=False),
    ]

    @property
    def host(self) -> str:
        """The IP address to listen on."""
        return self.value("host", _HOST, default="127.0.0.1")

    @property
    def port(self) -> int:
        """The port to listen on, 0 for any."""
        return self.value("port", _PORT, default=0)

    @abstractmethod
    def standin(self) -> Runnable:
        """Return the stand-in that the command line asks for.

        Raises:
            InvalidOptionError: A value is not of its type.
        """

    def work(self) -> int:
        """Serve."""
        run(run_until_signal(server=self.standin()))
        return EXIT_OK
