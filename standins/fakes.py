"""In-memory platform for tests without sockets."""

import time

import curio

from cardamomflow import errors, platform
from standins import store as store_module

_WATCH_POLL_S = 0.005


class FakePlatform(platform.Platform):
    """The platform in this process, with the faults of the stand-in.

    An outage of kind `drop` and `hang` leaves the outcome of changes open,
    one of kind `error` is a connection that could not be opened. Nothing is
    awaited unless a delay is set or a watch has to wait.
    """

    def __init__(self, store: store_module.Store | None = None) -> None:
        self.store = store_module.Store() if store is None else store

    async def read(self, key: str) -> platform.Entry | None:
        await self._begin('read')
        return self.store.served(key)

    async def compare_and_swap(
        self,
        key: str,
        value: bytes,
        expected_revision: int,
        lease_id: str | None = None,
    ) -> platform.Entry:
        if len(value) > platform.MAX_VALUE_BYTES:
            raise errors.BodyTooLarge(f'{key}: {len(value)} bytes')
        await self._begin('write')
        stored = self._write(
            store_module.Write(key, value, expected_revision, lease_id)
        )
        assert stored is not None  # noqa: S101
        return stored

    async def delete(self, key: str, expected_revision: int) -> None:
        await self._begin('write')
        self._write(store_module.Write(key, None, expected_revision))

    async def grant_lease(self, ttl_s: float) -> str:
        await self._begin('write')
        return self.store.grant_lease(ttl_s)

    async def keep_alive(self, lease_id: str) -> None:
        await self._begin('write')
        if not self.store.keep_alive(lease_id):
            raise errors.NotFound(f'the lease {lease_id} has ended')

    async def watch(
        self, key: str, after_revision: int, wait_s: float
    ) -> platform.Entry | None:
        await self._begin('watch')
        ends_at = time.monotonic() + wait_s
        while True:
            entry = self.store.served(key)
            silent = self.store.faults.silent_watches
            if entry and entry.revision > after_revision and not silent:
                return entry
            if time.monotonic() >= ends_at:
                return None
            await curio.sleep(_WATCH_POLL_S)

    async def hosts(self) -> list[platform.HostState]:
        await self._begin('read')
        return self.store.hosts()

    async def _begin(self, kind: str) -> None:
        self.store.count(kind)
        faults = self.store.faults
        if faults.delay_s:
            await curio.sleep(faults.delay_s)
        outage = faults.outage
        if outage is store_module.Outage.NONE:
            return
        if kind == 'write' and outage is not store_module.Outage.ERROR:
            raise errors.OutcomeUnknown(f'outage: {outage}')
        raise errors.PlatformUnavailable(f'outage: {outage}')

    def _write(self, write: store_module.Write) -> platform.Entry | None:
        loss = self.store.faults.next_loss()
        if loss is store_module.Loss.LATE:
            self.store.keep_late(write)
        if loss in {store_module.Loss.LATE, store_module.Loss.NOT_APPLIED}:
            raise errors.OutcomeUnknown(f'lost: {loss}')
        stored = self.store.apply(write)
        if loss is store_module.Loss.APPLIED:
            raise errors.OutcomeUnknown(f'lost: {loss}')
        return stored
