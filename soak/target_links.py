"""Links from all instances to one target."""

from soak.proxy import HOST, Link


class TargetLinks:
    """
    One proxy for each instance in front of one target.

    A fault strikes all links but those of instances that are cut off.

    :param reactor: reactor of the proxies
    :param instances: names of the instances
    """

    def __init__(self, reactor, instances: list[str]) -> None:
        self.fault = ''
        self._link_by_instance = {name: Link(reactor, 0) for name in instances}
        self._cut_instances: set[str] = set()
        # Cut-off instances whose connections end once the cut does.
        self._stale_instances: set[str] = set()
        self._is_refusing = False

    def set_target_port(self, port: int) -> None:
        for link in self._link_by_instance.values():
            link.target_port = port

    def get_address(self, instance: str) -> str:
        """Return the address at which an instance reaches the target."""
        return f'{HOST}:{self._link_by_instance[instance].port}'

    def has_address(self, address: str) -> bool:
        return any(
            address == self.get_address(instance)
            for instance in self._link_by_instance
        )

    def set_fault(self, fault: str) -> None:
        self.fault = fault
        if fault == 'reset':
            self._stale_instances |= self._cut_instances
        for link in self._list_links():
            link.set_fault(fault)

    def listen(self) -> None:
        self._is_refusing = False
        for link in self._list_links():
            link.listen()

    def refuse_connections(self) -> None:
        """Close all connections in due form; refuse others until `listen`."""
        self._is_refusing = True
        self._stale_instances |= self._cut_instances
        for link in self._list_links():
            link.refuse_connections()

    def cut(self, instance: str, fault: str) -> None:
        """Cut an instance off the target until `heal`."""
        self._cut_instances.add(instance)
        self._link_by_instance[instance].set_fault(fault)

    def heal(self, instance: str) -> None:
        link = self._link_by_instance[instance]
        self._cut_instances.discard(instance)
        if instance in self._stale_instances:
            self._stale_instances.discard(instance)
            link.set_fault('reset')
        if self._is_refusing:
            link.refuse_connections()
        else:
            link.listen()
        link.set_fault(self.fault)

    def stop(self) -> None:
        for link in self._link_by_instance.values():
            link.stop()

    def _list_links(self) -> list[Link]:
        return [
            link
            for instance, link in self._link_by_instance.items()
            if instance not in self._cut_instances
        ]
