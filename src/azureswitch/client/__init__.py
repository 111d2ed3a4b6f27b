"""A small HTTP/1.1 client that says exactly whether a request was sent."""

from azureswitch.client._answer import HOP_BY_HOP, Headers, HttpAnswer, HttpHead
from azureswitch.client._client import SAFE_METHODS, HttpClient, HttpExchange
from azureswitch.client._connector import Abortable, Connector, DirectConnector

__all__ = [
    "Abortable",
    "Connector",
    "DirectConnector",
    "HOP_BY_HOP",
    "SAFE_METHODS",
    "Headers",
    "HttpAnswer",
    "HttpClient",
    "HttpExchange",
    "HttpHead",
]
