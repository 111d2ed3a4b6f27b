"""The program ``azureswitch-standin-service``."""

import argparse
import asyncio

from azureswitch_standins._web import run_until_signal
from azureswitch_standins.service._http import ServiceStandin


def main() -> None:
    """Serve a plain service until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description="Stand-in for a plain service.")
    parser.add_argument("--host", default="127.0.0.1", help="IP to listen on")
    parser.add_argument("--port", type=int, default=0, help="port to listen on, 0 for any")
    parser.add_argument("--name", default="service", help="name that answers carry")
    options = parser.parse_args()
    standin = ServiceStandin(name=options.name, host=options.host, port=options.port)
    asyncio.run(run_until_signal(server=standin))
