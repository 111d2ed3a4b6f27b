"""The program ``azureswitch-standin-engine``."""

import argparse
import asyncio
import time
from dataclasses import fields

from azureswitch_standins._web import run_until_signal
from azureswitch_standins.engine._http import EngineStandin
from azureswitch_standins.engine._settings import CostModel, EngineSettings


def main() -> None:
    """Serve an engine until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description="Stand-in for a model engine.")
    parser.add_argument("--host", default="127.0.0.1", help="IP to listen on")
    parser.add_argument("--port", type=int, default=0, help="port to listen on, 0 for any")
    parser.add_argument("--speed", type=float, default=1.0, help="model seconds in a second")
    parser.add_argument("--models", default="base", help="models loaded, separated by commas")
    parser.add_argument("--ignores-fence", action="store_true", help="take orders of any fence")
    defaults = EngineSettings()
    for name in ("name", "memory", "sequences", "queue"):
        value = getattr(defaults, name)
        parser.add_argument(f"--{name}", type=type(value), default=value)
    for cost in fields(CostModel):
        option = f"--{cost.name.replace('_', '-')}"
        parser.add_argument(option, type=float, default=cost.default)
    options = parser.parse_args()
    settings = EngineSettings(
        name=options.name,
        models=tuple(options.models.split(",")),
        memory=options.memory,
        sequences=options.sequences,
        queue=options.queue,
        checks_fence=not options.ignores_fence,
        cost=CostModel(**{cost.name: getattr(options, cost.name) for cost in fields(CostModel)}),
    )
    standin = EngineStandin(
        settings=settings,
        host=options.host,
        port=options.port,
        speed=options.speed,
        started=int(time.time() * 1000),
    )
    asyncio.run(run_until_signal(server=standin))
