"""The daemon ``azureswitch-edge``: a gateway on the users' platform."""

import asyncio
import faulthandler
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
from azureswitch.exceptions import AddressUnavailableError, PlatformSettingsError
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
"""An address could not be bound."""
EXIT_SETTINGS = 2
"""The settings are invalid."""
EXIT_FAILED = 3
"""The process ended because of an internal error."""

RELOAD_SECONDS = 2.0
"""Seconds between reloads of the settings file without a signal."""

SIGNALS = (SIGTERM, SIGINT, SIGHUP)
"""Signals that request a stop or a reload of the settings."""

NOT_TOLD: Mapping[int, float] = MappingProxyType({})

_unfinished: list[asyncio.Task[object]] = []
"""Tasks that did not end with the program.

They are kept referenced: on collection their cleanup code would run without an event loop.
"""


def run(*, callers: socket | None = None, told: Mapping[int, float] = NOT_TOLD) -> NoReturn:
    """Run an edge process, and exit with the code that `main` returns.

    The interpreter is not finalized.  On a busy host, finalization takes longer than the time
    between the last response and the platform's SIGKILL.

    Args:
        callers: As in `main`.
        told: As in `main`.
    """
    code = main(callers=callers, told=told)
    try:
        sys.stdout.flush()
        sys.stderr.flush()
    finally:
        # Also exits if the streams are closed, which cannot be reported anywhere.
        os._exit(code)


def main(*, callers: socket | None = None, told: Mapping[int, float] = NOT_TOLD) -> int:
    """Run an edge process until SIGTERM or SIGINT.

    Args:
        callers: A socket that already listens for callers, or None to open the configured address.
        told: When signals arrived before this call, in seconds of `azureswitch.clock`, by signal
            number.  Signals may be added until the program installs its own handlers.

    Returns:
        0 after a graceful stop, 1 if an address cannot be used, 2 if the settings are invalid, 3
        after an internal error.
    """
    # For what ends a process without an exception.
    faulthandler.enable()
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    try:
        settings = read_settings(path)
    except PlatformSettingsError as error:
        logging.error("edge: %s", error)
        return EXIT_SETTINGS
    lines = start_logs(host=settings.host)
    # Loaded modules are permanent; scanning them in full collections would block the event loop.
    gc.freeze()
    gc.enable()
    try:
        run_to_end(_serve(path, settings, lines, callers=callers, noted=told))
    except AddressUnavailableError as error:
        logging.error("edge: %s", error)
        return EXIT_START
    except BaseException:
        logging.exception("edge: The process ends because of an internal error.")
        return EXIT_FAILED
    finally:
        lines.flush()
    return EXIT_OK


def run_to_end(work: Coroutine[object, object, None]) -> None:
    """Run the program, and abandon the tasks that do not end with it.

    `asyncio.run` waits for every task without a timeout.  A task that ignores its cancellation
    would keep the process running past its grace period.
    """
    loop = ElapsedEventLoop()
    try:
        asyncio.set_event_loop(loop)
        loop.run_until_complete(work)
    finally:
        _unfinished.extend(asyncio.all_tasks(loop))
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
        loop.add_signal_handler(number, stop.request_stop)
    loop.add_signal_handler(SIGHUP, changed.set)
    # Read only now, because no more signals are recorded there once the handlers are installed.
    earlier = [noted[number] for number in (SIGTERM, SIGINT) if number in noted]
    if earlier:
        stop.request_stop(at=min(earlier))
    if SIGHUP in noted:
        changed.set()
    seed = xxh3_64_intdigest(settings.host.encode()) & 0xFFFF
    edge = Edge(settings=settings, log=Log(), lines=lines, seed=seed)
    background = (
        loop.create_task(_reread(path, settings, changed, edge)),
        loop.create_task(stop.watch()),
    )
    try:
        await edge.serve(stop, callers=callers)
    finally:
        for task in background:
            task.cancel()
        # The handlers are removed with the event loop; a later signal would kill the process, with
        # the exit code of a crash.
        pthread_sigmask(SIG_BLOCK, SIGNALS)


async def _reread(
    path: Path, settings: PlatformSettings, changed: asyncio.Event, edge: Edge
) -> None:
    """Reload the settings file on a signal, and periodically without one."""
    while True:
        try:
            async with asyncio.timeout(RELOAD_SECONDS):
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
            edge.reload(found)
