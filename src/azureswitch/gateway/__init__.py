"""Forwards callers' requests to targets and relays the answers unchanged."""

from azureswitch.gateway._gateway import Gateway
from azureswitch.gateway._host_changes import HostChanges
from azureswitch.gateway._host_log import PeersKnown
from azureswitch.gateway._model import (
    AdvertisedLimit,
    AnswerInfo,
    AttemptInfo,
    Deployment,
    Helper,
    PromptPart,
    RequestInfo,
    Route,
    RouteKind,
    Share,
)
from azureswitch.gateway._ports import Dialect, Reservations
from azureswitch.gateway._prepared import Prepared, prepare
from azureswitch.gateway._settings import GatewaySettings
from azureswitch.gateway._stopping import Neighbours, neighbours_of

__all__ = [
    "Neighbours",
    "neighbours_of",
    "PromptPart",
    "RequestInfo",
    "Deployment",
    "Dialect",
    "Gateway",
    "GatewaySettings",
    "Helper",
    "AdvertisedLimit",
    "HostChanges",
    "PeersKnown",
    "Prepared",
    "Reservations",
    "Route",
    "RouteKind",
    "AttemptInfo",
    "Share",
    "AnswerInfo",
    "prepare",
]
