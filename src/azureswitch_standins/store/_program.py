"""The program ``azureswitch-standin-store``."""

from cleo.helpers import option

from azureswitch.programs import run_program
from azureswitch.settings import Number
from azureswitch_standins._program import StandinProgram
from azureswitch_standins.store._http import StoreStandin
from azureswitch_standins.store._model import StoreLimits, StoreModel

_RATE = Number(low=0.001)
_DEFAULTS = StoreLimits()


class StoreProgram(StandinProgram):
    """Serves an object store, empty at first."""

    name = "azureswitch-standin-store"
    description = "Stand-in for the platform's object store."
    options = [  # noqa: RUF012 - cleo's own way to declare them.
        *StandinProgram.options,
        option("reads", description=f"Reads a second, else {_DEFAULTS.reads:g}.", flag=False),
        option("writes", description=f"Writes a second, else {_DEFAULTS.writes:g}.", flag=False),
    ]

    def standin(self) -> StoreStandin:
        """Return the store."""
        limits = StoreLimits(
            reads=self.value("reads", _RATE, default=_DEFAULTS.reads),
            writes=self.value("writes", _RATE, default=_DEFAULTS.writes),
        )
        return StoreStandin(model=StoreModel(limits=limits), host=self.host, port=self.port)


def main() -> int:
    """Serve a store until SIGTERM or SIGINT, and return the exit code."""
    return run_program(StoreProgram())
