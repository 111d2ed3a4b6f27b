"""Hosts learn of each other from the host list and from each other."""

from azureswitch.coordination.membership._model import Member, MemberStatus

__all__ = ["Member", "MemberStatus"]
