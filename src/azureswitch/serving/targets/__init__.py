"""What is known of targets."""

from azureswitch.serving.targets._pool import Pool, group_pools

__all__ = ["Pool", "group_pools"]
