"""A small HTTP/1.1 client that says exactly whether a request was sent."""

from azureswitch.client._answer import HOP_BY_HOP, Headers, HttpAnswer, HttpHead
from azureswitch.client._client import MAX_BODY_BYTES, SAFE_METHODS, HttpClient, HttpExchange
from azureswitch.client._connector import Abortable, Connector, DirectConnector
from azureswitch.client._framing import MAX_FRAMING_BYTES, FramingMeter, pieces

__all__ = [
    "Abortable",
    "Connector",
    "DirectConnector",
    "FramingMeter",
    "HOP_BY_HOP",
    "MAX_BODY_BYTES",
    "MAX_FRAMING_BYTES",
    "SAFE_METHODS",
    "Headers",
    "HttpAnswer",
    "HttpClient",
    "HttpExchange",
    "HttpHead",
    "pieces",
]
