"""A whole deployment in one process, its faults, and the check that its promises hold."""

from azureswitch_load.demo._deployment import Deployment, DeploymentName, load_deployment
from azureswitch_load.demo._fleet import Fleet

__all__ = ["Deployment", "DeploymentName", "Fleet", "load_deployment"]
