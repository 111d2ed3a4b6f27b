"""Tells callers of failures of ours."""

from azureswitch.exceptions import AzureswitchError
from azureswitch.gateway._ports import Dialect
from azureswitch.server import Exchange


def respond_failure(exchange: Exchange, error: AzureswitchError, *, dialect: Dialect) -> None:
    """Answer a request by a failure, unless its answer has begun.

    Args:
        exchange: The request.
        error: The failure.
        dialect: The form of failures.
    """
    headers, body = dialect.failure(error)
    exchange.respond(status=error.status, headers=headers, body=body)
