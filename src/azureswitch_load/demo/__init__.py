"""A whole deployment in one process, its faults, and the check that its promises hold."""

from azureswitch_load.demo._addresses import free_address
from azureswitch_load.demo._deployment import Deployment, DeploymentName, load_deployment
from azureswitch_load.demo._fleet import Fleet
from azureswitch_load.demo._status import read_revision

__all__ = [
    "Deployment",
    "DeploymentName",
    "Fleet",
    "free_address",
    "load_deployment",
    "read_revision",
]
