"""Addresses as settings."""

from dataclasses import dataclass
from ipaddress import ip_address
from re import compile

from azureswitch.settings._kind import Kind

HIGHEST_PORT = 65_535
"""The greatest TCP or UDP port."""

_PORT = compile(r"[0-9]{1,5}")


@dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Address:
    """An IP address with a port.

    Attributes:
        ip: The IP address, without brackets.
        port: The port, from 1 up, or 0 where the system is to choose one.
    """

    ip: str
    port: int

    def __str__(self) -> str:
        return f"[{self.ip}]:{self.port}" if ":" in self.ip else f"{self.ip}:{self.port}"


@dataclass(frozen=True, slots=True, kw_only=True)
class HostPort(Kind[Address]):
    """An IP address with a port.

    Attributes:
        any_port: Whether port 0, a port of the system's choice, is accepted.
    """

    any_port: bool = False

    @property
    def expected(self) -> str:
        """What is accepted."""
        return "`IP:PORT`, such as `10.0.0.7:8080` or `[fd00::7]:8080`"

    def parse(self, text: str) -> Address:
        """Read a value."""
        ip, _, port = text.rpartition(":")
        if ip.startswith("[") and ip.endswith("]"):
            ip = ip[1:-1]
        elif ":" in ip:
            raise ValueError(text)
        if not _PORT.fullmatch(port):
            raise ValueError(text)
        number = int(port)
        if not (0 if self.any_port else 1) <= number <= HIGHEST_PORT:
            raise ValueError(text)
        return Address(ip=str(ip_address(ip)), port=number)
