"""The targets that are listed, by name and by address."""

from collections.abc import Callable, Iterable, Mapping

from azureswitch.core import TargetName
from azureswitch.gateway._reports import targets_changed, without_warmth
from azureswitch.inventory import Target, TargetRole, latest
from azureswitch.logs import Log


class ListedTargets:
    """The targets that are listed; implements `azureswitch.paths.TargetDirectory`.

    Args:
        takes_work: Returns whether a target may get new work.
        log: Receives the log entries.
    """

    def __init__(self, *, takes_work: Callable[[TargetName], bool], log: Log) -> None:
        self._takes_work = takes_work
        self._log = log
        self._by_name: Mapping[TargetName, Target] = {}
        self._by_address: Mapping[str, Target] = {}

    @property
    def by_name(self) -> Mapping[TargetName, Target]:
        """The targets by name."""
        return self._by_name

    @property
    def addresses(self) -> Iterable[str]:
        """The ``IP:PORT`` addresses of the targets."""
        return self._by_address.keys()

    def target_at(self, address: str) -> Target | None:
        """Return the target that is listed at ``IP:PORT``, or None."""
        return self._by_address.get(address)

    def takes_work(self, target: Target) -> bool:
        """Return whether a target may get new work."""
        return self._takes_work(target.name)

    def replace(self, targets: tuple[Target, ...]) -> list[Target]:
        """Replace the targets, and return those that have begun to drain."""
        before = self._by_name
        self._by_name = {target.name: latest(before.get(target.name), target) for target in targets}
        if before == self._by_name:
            return []
        self._by_address = {target.address: target for target in self._by_name.values()}
        listed, listed_before = without_warmth(self._by_name), without_warmth(before)
        if listed != listed_before:
            self._log.write(targets_changed(before, self._by_name))
        return [
            target
            for name, target in self._by_name.items()
            if target.role is TargetRole.DRAINING and listed_before.get(name) != listed[name]
        ]
