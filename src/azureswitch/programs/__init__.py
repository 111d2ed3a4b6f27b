"""What the command lines of all programs share.

A `Program` is one cleo command; `run_program` runs it as the only command of its program.  Values
are read by the types of `azureswitch.settings`, so that a wrong one is refused by a sentence that
names the option, and by one exit code.
"""

from azureswitch.programs._options import parse_option
from azureswitch.programs._program import EXIT_OK, EXIT_USAGE, Program, run_application, run_program

__all__ = [
    "EXIT_OK",
    "EXIT_USAGE",
    "Program",
    "parse_option",
    "run_application",
    "run_program",
]
