"""In-memory store with conditional updates."""

from proof.world import Service, World

CONFLICT = -1


class FakeStore(Service):
    """
    Objects with a version that each write increments.

    :param world: clock, and record of violations
    """

    __slots__ = ('_objects', 'listeners', 'world', 'writes')

    def __init__(self, world: World) -> None:
        super().__init__()
        self.world = world
        self.writes: list[tuple[int, str, int, bytes]] = []
        self.listeners: list = []
        self._objects: dict[str, tuple[int, bytes]] = {}

    def read(self, name: str) -> tuple[int, bytes]:
        """Return version and payload; 0 and empty if the object is absent."""
        return self._objects.get(name, (0, b''))

    def write(self, name: str, payload: bytes, expected_version: int) -> int:
        """
        Write an object if it still has the expected version.

        :return: new version, or ``CONFLICT``
        """
        version, old_payload = self.read(name)
        if version != expected_version:
            return CONFLICT
        self._objects[name] = (version + 1, payload)
        self.writes.append((self.world.now_ms, name, version + 1, payload))
        for listener in self.listeners:
            listener(name, old_payload, payload)
        return version + 1

    def list_names(self, prefix: str) -> list[str]:
        """Return the names of all objects with a prefix."""
        return [name for name in self._objects if name.startswith(prefix)]
