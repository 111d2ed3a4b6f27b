"""The daemon ``azureswitch-edge``: a gateway on the users' platform."""

import asyncio
import gc
import os
import sys
from collections.abc import Coroutine, Mapping
from pathlib import Path
from signal import SIG_BLOCK, SIGHUP, SIGINT, SIGTERM, pthread_sigmask
from socket import socket
from types import MappingProxyType
from typing import NoReturn

from absl import logging
from xxhash import xxh3_64_intdigest

from azureswitch.clock import ElapsedEventLoop
from azureswitch.exceptions import PlatformSettingsError
from azureswitch.logs import LineStream, Log, start_logs
from azureswitch.platform._edge import Edge
from azureswitch.platform._settings import (
    SETTINGS_VARIABLE,
    PlatformSettings,
    read_settings,
)
from azureswitch.platform._signals import StopRequest

EXIT_OK = 0
EXIT_START = 1
"""An address could not be used."""
EXIT_SETTINGS = 2
"""The settings were refused."""

REREAD_SECONDS = 2.0
"""Seconds after which the settings file is read again without a signal."""

SIGNALS = (SIGTERM, SIGINT, SIGHUP)
"""Signals that tell the process to stop, or of new settings."""

NOT_TOLD: Mapping[int, float] = MappingProxyType({})

_left: list[asyncio.Task[object]] = []
"""Tasks that had not ended with the program; collected, they would run on with no event loop."""


def run(*, callers: socket | None = None, told: Mapping[int, float] = NOT_TOLD) -> NoReturn:
    """Run an edge process, and end it by the code that `main` returns.

    The interpreter is not taken down: on a busy host that takes longer than what is left, after the
    last answer, until the platform kills the process.

    Args:
        callers: As in `main`.
        told: As in `main`.
    """
    code = main(callers=callers, told=told)
    try:
        sys.stdout.flush()
        sys.stderr.flush()
    finally:
        # Also where nobody reads them any more, which cannot be told anybody.
        os._exit(code)


def main(*, callers: socket | None = None, told: Mapping[int, float] = NOT_TOLD) -> int:
    """Run an edge process until SIGTERM or SIGINT.

    Args:
        callers: A socket that listens for callers already, or None to open the one of the settings.
        told: When signals came that were noted before this, in seconds of `azureswitch.clock`, by
            their numbers.  It may grow until the program handles signals itself.

    Returns:
        0 after a graceful stop, 1 where an address cannot be used, 2 where the settings are wrong.
    """
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        settings = read_settings(path)
    except PlatformSettingsError as error:
        logging.error("edge: %s", error)
        return EXIT_SETTINGS
    lines = start_logs(host=settings.host)
    # What is loaded stays, and full collections that look through it hold up the event loop.
    gc.freeze()
    gc.enable()
    try:
        run_to_end(_serve(path, settings, lines, callers=callers, noted=told))
    except OSError as error:
        logging.error("edge: An address cannot be used: %s", error)
        return EXIT_START
    finally:
        lines.flush()
    return EXIT_OK


def run_to_end(work: Coroutine[object, object, None]) -> None:
    """Run the program, and leave behind what does not end with it.

    `asyncio.run` waits for every task without a bound, and one that goes on though it was cancelled
    would keep the host past its time of grace.
    """
    loop = ElapsedEventLoop()
    try:
        asyncio.set_event_loop(loop)
        loop.run_until_complete(work)
    finally:
        _left.extend(asyncio.all_tasks(loop))
        loop.close()


async def _serve(
    path: Path,
    settings: PlatformSettings,
    lines: LineStream,
    *,
    callers: socket | None,
    noted: Mapping[int, float],
) -> None:
    loop = asyncio.get_running_loop()
    stop = StopRequest()
    changed = asyncio.Event()
    for number in (SIGTERM, SIGINT):
        loop.add_signal_handler(number, stop.tell)
    loop.add_signal_handler(SIGHUP, changed.set)
    # Looked at only now, when no further signal can be noted there.
    earlier = [noted[number] for number in (SIGTERM, SIGINT) if number in noted]
    if earlier:
        stop.tell(at=min(earlier))
    if SIGHUP in noted:
        changed.set()
    seed = xxh3_64_intdigest(settings.host.encode()) & 0xFFFF
    edge = Edge(settings=settings, log=Log(), lines=lines, seed=seed)
    beside = (
        loop.create_task(_reread(path, settings, changed, edge)),
        loop.create_task(stop.watch()),
    )
    try:
        await edge.serve(stop, callers=callers)
    finally:
        for task in beside:
            task.cancel()
        # The handlers go with the event loop; a signal after that would end the process by itself,
        # with the code of a crash.
        pthread_sigmask(SIG_BLOCK, SIGNALS)


async def _reread(
    path: Path, settings: PlatformSettings, changed: asyncio.Event, edge: Edge
) -> None:
    """Read the settings file again upon a signal, and from time to time without one."""
    while True:
        try:
            async with asyncio.timeout(REREAD_SECONDS):
                await changed.wait()
        except TimeoutError:
            pass
        changed.clear()
        try:
            found = read_settings(path)
        except PlatformSettingsError as error:
            logging.error("edge: The settings stay as they are: %s", error)
            continue
        if found != settings:
            settings = found
            logging.info("edge: The settings have changed and were read again.")
            edge.reread(found)
