"""Addresses on loopback."""

from socket import AF_INET, SOCK_STREAM, socket

from azureswitch.settings import Address

LOOPBACK = "127.0.0.1"


def free_address() -> Address:
    """Return a loopback address that nothing listens on now."""
    with socket(AF_INET, SOCK_STREAM) as probe:
        probe.bind((LOOPBACK, 0))
        return Address(ip=LOOPBACK, port=probe.getsockname()[1])
