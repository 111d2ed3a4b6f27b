"""The program ``azureswitch``."""

from cleo.application import Application

from azureswitch import __version__
from azureswitch.commands._base import Connections
from azureswitch.commands._configuration import (
    ApplyCommand,
    CheckCommand,
    DiffCommand,
    HistoryCommand,
    ShowCommand,
)
from azureswitch.commands._drain import DrainCommand
from azureswitch.commands._evacuate import EvacuateCommand, RestoreCommand
from azureswitch.commands._explaining import ExplainCommand
from azureswitch.commands._hash import HashKeyCommand
from azureswitch.commands._parts import PARTS
from azureswitch.commands._reference import ReferenceCommand
from azureswitch.commands._release import ReleaseCommand
from azureswitch.commands._status import StatusCommand

_PART_COMMANDS = (CheckCommand, DiffCommand, ApplyCommand, ShowCommand, HistoryCommand)
_COMMANDS = (
    StatusCommand,
    DrainCommand,
    EvacuateCommand,
    RestoreCommand,
    ReleaseCommand,
    ExplainCommand,
    HashKeyCommand,
    ReferenceCommand,
)


def build(*, connections: Connections | None = None) -> Application:
    """Return the program.

    Args:
        connections: How it reaches the platform and the hosts, or None for HTTP.

    Returns:
        The program with all its commands.
    """
    reached = connections or Connections()
    application = Application("azureswitch", __version__)
    for command in _PART_COMMANDS:
        for part in PARTS:
            application.add(command(connections=reached, part=part))
    for single in _COMMANDS:
        application.add(single(connections=reached))
    return application


def main() -> int:
    """Run the program and return its exit code."""
    return int(build().run())
