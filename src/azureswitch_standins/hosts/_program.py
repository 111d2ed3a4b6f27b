"""The program ``azureswitch-standin-hosts``."""

import argparse
import asyncio

from azureswitch_standins._web import run_until_signal
from azureswitch_standins.hosts._fake import DEFAULT_LAG
from azureswitch_standins.hosts._http import HostListStandin


def main() -> None:
    """Serve a host list, empty at first, until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description="Stand-in for the platform's host list.")
    parser.add_argument("--host", default="127.0.0.1", help="IP to listen on")
    parser.add_argument("--port", type=int, default=0, help="port to listen on, 0 for any")
    parser.add_argument("--lag", type=float, default=DEFAULT_LAG, help="seconds behind the truth")
    options = parser.parse_args()
    standin = HostListStandin(lag=options.lag, host=options.host, port=options.port)
    asyncio.run(run_until_signal(server=standin))
