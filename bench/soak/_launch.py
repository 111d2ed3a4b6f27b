"""Starts the program of the deploy file with a time of day that is off by some seconds.

The steady clock is left alone.  A process's time of day cannot be set from outside without rights
that a test has no business to have.
"""

import sys
import time
from runpy import run_path


def main() -> None:
    """Run a program: how far the time of day is off, in seconds, its path, and its arguments."""
    offset = float(sys.argv[1])
    real = time.time
    # The program takes its clock by name, so that it must be loaded after the change.
    time.time = lambda: real() + offset
    sys.argv = sys.argv[2:]
    run_path(sys.argv[0], run_name="__main__")


if __name__ == "__main__":
    main()
