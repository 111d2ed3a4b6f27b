"""The program ``azureswitch-standin-store``."""

import argparse
import asyncio

from azureswitch_standins._web import run_until_signal
from azureswitch_standins.store._http import StoreStandin
from azureswitch_standins.store._model import StoreLimits, StoreModel


def main() -> None:
    """Serve a store until SIGTERM or SIGINT."""
    defaults = StoreLimits()
    parser = argparse.ArgumentParser(description="Stand-in for the platform's object store.")
    parser.add_argument("--host", default="127.0.0.1", help="IP to listen on")
    parser.add_argument("--port", type=int, default=0, help="port to listen on, 0 for any")
    parser.add_argument("--reads", type=float, default=defaults.reads, help="reads a second")
    parser.add_argument("--writes", type=float, default=defaults.writes, help="writes a second")
    options = parser.parse_args()
    limits = StoreLimits(reads=options.reads, writes=options.writes)
    standin = StoreStandin(model=StoreModel(limits=limits), host=options.host, port=options.port)
    asyncio.run(run_until_signal(server=standin))
