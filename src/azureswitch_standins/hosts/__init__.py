"""A stand-in for the platform's host list."""

from azureswitch_standins.hosts._fake import DEFAULT_LAG, HostListFake
from azureswitch_standins.hosts._http import HostListStandin
from azureswitch_standins.hosts._program import main

__all__ = ["DEFAULT_LAG", "HostListFake", "HostListStandin", "main"]
