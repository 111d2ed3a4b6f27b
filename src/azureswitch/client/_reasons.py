"""Why a connection could not be made."""

from errno import EHOSTUNREACH, ENETUNREACH

from azureswitch.exceptions import NotSent

NO_ROUTE_CODES = frozenset((EHOSTUNREACH, ENETUNREACH))


def reason_of(error: OSError) -> NotSent:
    """Return why a connection could not be made, from the error of the attempt."""
    if isinstance(error, ConnectionRefusedError):
        return NotSent.REFUSED
    if isinstance(error, ConnectionError):
        return NotSent.RESET
    if isinstance(error, TimeoutError):
        return NotSent.TIMED_OUT
    return NotSent.NO_ROUTE if error.errno in NO_ROUTE_CODES else NotSent.OTHER
