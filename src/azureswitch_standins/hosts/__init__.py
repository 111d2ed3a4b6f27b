"""A stand-in for the platform's host list."""

from azureswitch_standins.hosts._fake import DEFAULT_LAG, HostListFake

__all__ = ["DEFAULT_LAG", "HostListFake"]
