"""The daemon ``azureswitch-entry``."""

from asyncio import Event, Runner, get_running_loop
from collections.abc import Sequence
from pathlib import Path
from signal import SIGINT, SIGTERM

from absl import logging
from cleo.helpers import option

from azureswitch.clock import ElapsedEventLoop
from azureswitch.entry._server import EntryServer
from azureswitch.entry._settings import EntrySettings, LogLevel, read_settings
from azureswitch.exceptions import SettingsError
from azureswitch.programs import EXIT_OK, Program, run_program
from azureswitch.settings import Text

EXIT_START = 1
"""An address could not be used."""
EXIT_SETTINGS = 2
"""The settings were refused."""

_PATH = Text(form="the path of a settings file")

_LEVELS = {
    LogLevel.DEBUG: logging.DEBUG,
    LogLevel.INFO: logging.INFO,
    LogLevel.WARNING: logging.WARNING,
    LogLevel.ERROR: logging.ERROR,
}


class EntryProgram(Program):
    """Runs one entry host until SIGTERM or SIGINT."""

    name = "azureswitch-entry"
    description = "Runs one entry host."
    options = [  # noqa: RUF012 - cleo's own way to declare them.
        option("settings", description="The settings file.", flag=False),
    ]

    def work(self) -> int:
        """Serve, and return 0 after a graceful stop."""
        try:
            settings = read_settings(Path(self.value("settings", _PATH)))
        except SettingsError as error:
            self.complain(error)
            return EXIT_SETTINGS
        logging.use_absl_handler()
        logging.set_verbosity(_LEVELS[settings.log_level])
        logging.set_stderrthreshold(logging.DEBUG)
        try:
            with Runner(loop_factory=ElapsedEventLoop) as runner:
                runner.run(_serve(settings))
        except OSError as error:
            self.complain(error)
            return EXIT_START
        return EXIT_OK


def main(arguments: Sequence[str] | None = None) -> int:
    """Run an entry host until SIGTERM or SIGINT.

    Args:
        arguments: The command line without the program's name, or None for the process's own.

    Returns:
        0 after a graceful stop, 1 if an address cannot be used, 2 if the settings or the command
        line are invalid.
    """
    return run_program(EntryProgram(), arguments)


async def _serve(settings: EntrySettings) -> None:
    stop = Event()
    loop = get_running_loop()
    for number in (SIGTERM, SIGINT):
        loop.add_signal_handler(number, stop.set)
    server = EntryServer(settings=settings)
    await server.start()
    await stop.wait()
    await server.stop(graceful=True)
