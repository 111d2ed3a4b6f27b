"""An HTTP/1.1 server whose answers may be passed on as they come, and broken off.

blacksheep serves the product's own interface.  Here each answer passes on a target's head and must
be able to end without looking complete, and a connection's limits change while it is open, for all
of which a server library's application interface has no place.
"""

from azureswitch.server._connection import LINGER_SECONDS
from azureswitch.server._exchange import Exchange, Handler
from azureswitch.server._model import CallerLimits, CloseReason, ConnectionClosed, HttpRequest
from azureswitch.server._server import HttpServer
from azureswitch.server._unread import is_readable

__all__ = [
    "LINGER_SECONDS",
    "CallerLimits",
    "CloseReason",
    "ConnectionClosed",
    "Exchange",
    "Handler",
    "HttpRequest",
    "HttpServer",
    "is_readable",
]
