"""Answers callers with the gateway's own errors."""

from azureswitch.exceptions import AzureswitchError
from azureswitch.gateway._ports import Dialect
from azureswitch.server import Exchange


def respond_failure(exchange: Exchange, error: AzureswitchError, *, dialect: Dialect) -> None:
    """Answer a request with an error; does nothing if its answer has begun.

    Args:
        exchange: The request.
        error: The error.
        dialect: Encodes the error.
    """
    headers, body = dialect.failure(error)
    exchange.respond(status=error.status, headers=headers, body=body)
