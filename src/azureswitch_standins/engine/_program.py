"""The program ``azureswitch-standin-engine``."""

import time
from dataclasses import dataclass
from math import isfinite

from cleo.helpers import option
from msgspec.structs import fields

from azureswitch.programs import run_program
from azureswitch.settings import NAME, Integer, Items, Kind, Number, Text
from azureswitch_standins._program import StandinProgram
from azureswitch_standins.engine._http import EngineStandin
from azureswitch_standins.engine._settings import CostModel, EngineSettings


@dataclass(frozen=True, slots=True, kw_only=True)
class _Cost(Kind[float]):
    """A finite number of at least 0, which may carry an exponent as the small ones do."""

    @property
    def expected(self) -> str:
        return "a number of at least 0, such as `0.02` or `1e-8`"

    def parse(self, text: str) -> float:
        value = float(text)
        if not isfinite(value) or value < 0:
            raise ValueError(text)
        return value


_DEFAULTS = EngineSettings()
_SPEED = Number(low=0.001)
_MODELS = Items(kind=Text(), least=1)
_COUNT = Integer(low=1)
_COSTS = {field.name.replace("_", "-"): field.name for field in fields(CostModel)}
"""The option of each cost."""


class EngineProgram(StandinProgram):
    """Serves one engine."""

    name = "azureswitch-standin-engine"
    description = "Stand-in for a model engine."
    options = [  # noqa: RUF012 - cleo's own way to declare them.
        *StandinProgram.options,
        option("speed", description="Model seconds in a second, else 1.", flag=False),
        option("models", description="Models loaded, separated by commas.", flag=False),
        option("ignores-fence", description="Take orders of any fence."),
        option("name", description="Name in the inventory.", flag=False),
        option("memory", description="KV memory in tokens.", flag=False),
        option("sequences", description="Sequences in the batch, at most.", flag=False),
        option("queue", description="Requests outside the batch, at most.", flag=False),
        *(option(name, description="A cost of the model.", flag=False) for name in _COSTS),
    ]

    @property
    def settings(self) -> EngineSettings:
        """What the engine is."""
        return EngineSettings(
            name=self.value("name", NAME, default=_DEFAULTS.name),
            models=self.value("models", _MODELS, default=_DEFAULTS.models),
            memory=self.value("memory", _COUNT, default=_DEFAULTS.memory),
            sequences=self.value("sequences", _COUNT, default=_DEFAULTS.sequences),
            queue=self.value("queue", Integer(low=0), default=_DEFAULTS.queue),
            checks_fence=not self.option("ignores-fence"),
            cost=self._cost(),
        )

    def standin(self) -> EngineStandin:
        """Return the engine."""
        return EngineStandin(
            settings=self.settings,
            host=self.host,
            port=self.port,
            speed=self.value("speed", _SPEED, default=1.0),
            started=int(time.time() * 1000),
        )

    def _cost(self) -> CostModel:
        kind = _Cost()
        return CostModel(
            **{
                field: self.value(name, kind, default=getattr(_DEFAULTS.cost, field))
                for name, field in _COSTS.items()
            }
        )


def main() -> int:
    """Serve an engine until SIGTERM or SIGINT, and return the exit code."""
    return run_program(EngineProgram())
