"""A small HTTP/1.1 client that says exactly whether a request was sent."""

from azureswitch.client._answer import Headers, HttpAnswer, HttpHead
from azureswitch.client._client import SAFE_METHODS, HttpClient, HttpExchange

__all__ = ["SAFE_METHODS", "Headers", "HttpAnswer", "HttpClient", "HttpExchange", "HttpHead"]
