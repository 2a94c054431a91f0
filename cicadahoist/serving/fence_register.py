"""Registers fencing tokens in the store before their first use."""

import msgspec

from cicadahoist.errors import StoreError
from cicadahoist.objects import ObjectStoreClient
from cicadahoist.protocol.records import get_era

# By era of the store: the newest token, and who holds it.
FENCE_KIND = 'cicadahoist-fences'


class _Fence(msgspec.Struct, frozen=True):
    epoch: int
    holder: str


class FenceRegister:
    """
    Lets each fencing token have one holder.

    The record of a lease can go back within an era: a write of an earlier era
    that the store carries out late replaces it where its revision was given out
    again. Objects of this register are named by the era of the token, so that
    no write of an earlier era names them.

    :param objects: the store
    :param holder: name and incarnation of this process
    """

    __slots__ = ('_holder', '_objects', 'newest_epoch')

    def __init__(self, objects: ObjectStoreClient, holder: str) -> None:
        self._objects = objects
        self._holder = holder
        # Newest token that was read from the register.
        self.newest_epoch = 0

    async def register(self, epoch: int) -> bool:
        """
        Register a token of this process.

        A store without eras loses nothing, so that its tokens need no register.

        :return: whether no other process has registered it, or a later one
        :raises StoreError: the store did not answer, or the register changed
            meanwhile
        """
        era = get_era(epoch)
        if not era:
            return True
        own = _Fence(epoch, self._holder)
        stored = await self._objects.get(FENCE_KIND, str(era))
        if stored is None:
            await self._objects.create(
                FENCE_KIND, str(era), msgspec.to_builtins(own)
            )
            return True
        newest = _decode(stored.spec)
        self.newest_epoch = max(self.newest_epoch, newest.epoch)
        if newest.epoch >= epoch:
            return newest == own
        await self._objects.replace(
            FENCE_KIND, str(era), msgspec.to_builtins(own), stored.revision
        )
        return True


def _decode(spec: object) -> _Fence:
    try:
        return msgspec.convert(spec, _Fence)
    except msgspec.ValidationError as error:
        raise StoreError(
            f'register of fencing tokens is unreadable: {error}',
            remedy='delete the object; it is written again',
        ) from error
