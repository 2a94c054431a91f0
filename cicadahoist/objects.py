"""Objects of a store with watches, as the core sees them."""

from typing import Any, Protocol

import msgspec


class StoredObject(msgspec.Struct, frozen=True):
    """
    One object.

    :param revision: revision of its last change
    :param spec: what its writer put there
    :param status: what others add to it
    """

    name: str
    revision: int
    spec: Any
    status: Any = None


class ObjectPage(msgspec.Struct, frozen=True):
    """
    Some objects of a kind.

    :param has_more: whether objects follow after the last name
    :param as_of: revision of the store that the page shows
    """

    objects: list[StoredObject]
    has_more: bool
    as_of: int


class Change(msgspec.Struct, frozen=True):
    """One change of an object."""

    stored: StoredObject
    is_removed: bool


class Changes(msgspec.Struct, frozen=True):
    """
    Changes of a kind in order.

    :param as_of: revision from which to watch on
    """

    changes: list[Change]
    as_of: int


class ObjectStoreClient(Protocol):
    """The store that instances of one deployment share."""

    async def read_page(
        self, kind: str, *, after: str = '', may_lag: bool = False
    ) -> ObjectPage:
        """Return some objects of a kind, in the order of their names."""

    async def watch(self, kind: str, after: int, wait_ms: int) -> Changes:
        """Return the changes after a revision, waiting for one."""

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return one object, or none."""

    async def create(self, kind: str, name: str, spec: Any) -> int:
        """Create an object and return its revision."""

    async def replace(
        self, kind: str, name: str, spec: Any, expected: int = 0
    ) -> int:
        """Replace an object and return its revision."""

    async def delete(self, kind: str, name: str, expected: int = 0) -> None:
        """Remove an object."""
