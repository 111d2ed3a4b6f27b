"""Starts the real edge program with a time of day that is off by some seconds.

The steady clock is left alone.  A process's time of day cannot be set from outside without rights
that a test has no business to have.
"""

import sys
import time


def main() -> int:
    """Run the program; the one argument is how far the time of day is off, in seconds."""
    offset = float(sys.argv[1])
    real = time.time
    time.time = lambda: real() + offset
    # The program takes its clock by name, so that it must be imported after the change.
    from azureswitch.platform import main as run

    return run()


if __name__ == "__main__":
    sys.exit(main())
