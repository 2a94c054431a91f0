"""Interface of the object store that the instances of a deployment share."""

from typing import Any, Protocol

import msgspec


class StoredObject(msgspec.Struct, frozen=True):
    """
    One stored object.

    :param revision: store revision of its last change
    :param spec: content, set by its writer
    :param status: observed state, set by other parties
    """

    name: str
    revision: int
    spec: Any
    status: Any = None


class ObjectPage(msgspec.Struct, frozen=True):
    """
    One page of the objects of a kind, ordered by name.

    :param has_more: whether more objects follow after the last one
    :param as_of: revision of the store at which the page was read
    :param era: rises each time the store comes back from an older copy
    """

    objects: list[StoredObject]
    has_more: bool
    as_of: int
    era: int = 0


class Change(msgspec.Struct, frozen=True):
    """
    One change of an object.

    :param is_removed: whether the object was deleted
    """

    stored: StoredObject
    is_removed: bool


class Changes(msgspec.Struct, frozen=True):
    """
    Changes of the objects of a kind, oldest first.

    :param as_of: revision after which the next watch starts
    :param era: as in `ObjectPage`; revisions of different eras have no order
    """

    changes: list[Change]
    as_of: int
    era: int = 0


class ObjectStoreClient(Protocol):
    """Client of an object store with conditional writes and watches."""

    @property
    def era(self) -> int:
        """Newest era in any answer; answers of earlier ones count as none."""

    async def read_page(
        self, kind: str, *, after: str = '', may_lag: bool = False
    ) -> ObjectPage:
        """
        Return one page of the objects of a kind, ordered by name.

        :param after: name after which the page starts, empty for the first page
        :param may_lag: whether the page may be older than the latest revision
        """

    async def watch(self, kind: str, after: int, wait_ms: int) -> Changes:
        """
        Return the changes after a revision.

        :param wait_ms: longest wait for the first change
        """

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or none."""

    async def create(self, kind: str, name: str, spec: Any) -> int:
        """Create an object and return its revision."""

    async def replace(
        self, kind: str, name: str, spec: Any, expected: int = 0
    ) -> int:
        """
        Replace an object and return its revision.

        :param expected: revision that is replaced, 0 for any
        """

    async def delete(self, kind: str, name: str, expected: int = 0) -> None:
        """
        Delete an object.

        :param expected: revision that is deleted, 0 for any
        """


async def list_all(
    objects: ObjectStoreClient, kind: str, *, may_lag: bool = False
) -> list[StoredObject]:
    """
    Return all objects of a kind, ordered by name.

    :param may_lag: as in :meth:`ObjectStoreClient.read_page`
    """
    page = await objects.read_page(kind, may_lag=may_lag)
    found = list(page.objects)
    while page.has_more and page.objects:
        page = await objects.read_page(
            kind, after=page.objects[-1].name, may_lag=may_lag
        )
        found.extend(page.objects)
    return found
