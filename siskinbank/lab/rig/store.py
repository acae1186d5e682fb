"""A stand-in for the platform's store that can fail and delay calls."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from siskinbank.platform.encoding import (
    Item,
    StoreCall,
    encode_page,
    read_store_call,
)
from siskinbank.platform.store import ERA_HEADER

__all__ = ('StoreCopy', 'StoreStandIn')

_PAGE_SIZE = 50
_OK = 200
_GONE = 410
_NOT_FOUND = 404
_UNAVAILABLE = 503


@dataclass(frozen=True)
class StoreCopy:
    """The state of a store at some moment.

    Attributes:
        revision: its revision.
        items: its items by key.
    """

    revision: int
    items: dict[str, Item]


class StoreStandIn:
    """Serves items by key and the history of their changes.

    Attributes:
        silent: whether it receives calls and never answers.
        away: whether it closes each connection at once.
        unavailable: whether it refuses all calls.
        busy: returns whether calls from an address are refused.
        refuses: returns whether one call is refused, by the address called.
        loses_answer: returns whether an answer is lost; its connection gets no
            further answers.
        delay_s: time from each result to its answer in seconds.
        calls: number of calls received.
        era: number of the era in all answers.
    """

    def __init__(self) -> None:
        """Initialize an empty store at revision 1."""
        self.silent = False
        self.away = False
        self.unavailable = False
        self.busy: Callable[[str], bool] = lambda ip: False
        self.refuses: Callable[[str, StoreCall], bool] = lambda ip, call: False
        self.loses_answer: Callable[[], bool] = bool
        self.delay_s: float = 0
        self.calls = 0
        self.era = 1
        self._revision = 1
        self._items: dict[str, Item] = {}
        self._history: list[Item] = []
        self._oldest_revision = 0
        self._changed = asyncio.Condition()
        self._servers: list[asyncio.Server] = []
        self._writers: set[asyncio.StreamWriter] = set()

    async def open(self, address: tuple[str, int]) -> None:
        """Listen at ``address``, and still at those of earlier calls."""
        self._servers.append(await asyncio.start_server(self._serve, *address))

    async def close(self) -> None:
        """Stop listening and close all connections."""
        for server in self._servers:
            server.close()
        for writer in self._writers:
            writer.close()

    def get(self, key: str) -> bytes | None:
        """Return the content of an item, None without one."""
        item = self._items.get(key)
        return item.content if item else None

    async def put(self, key: str, content: bytes | None) -> None:
        """Write an item, or remove it if ``content`` is None."""
        self._revision += 1
        item = Item(key, content, self._revision)
        if content is None:
            self._items.pop(key, None)
        else:
            self._items[key] = item
        self._history.append(item)
        async with self._changed:
            self._changed.notify_all()

    def compact(self) -> None:
        """Delete the history."""
        self._history.clear()
        self._oldest_revision = self._revision

    def copy(self) -> StoreCopy:
        """Return a copy of the items, to come back from later."""
        return StoreCopy(self._revision, dict(self._items))

    def close_connections(self) -> None:
        """Close the connections of all callers."""
        for writer in self._writers:
            writer.close()

    async def restore(
        self, copy: StoreCopy, *, close_connections: bool = True
    ) -> None:
        """Come back from a copy: what was written since is gone.

        Revisions are given out again.

        Args:
            copy: the state to come back with.
            close_connections: otherwise answers of the era before may still
                arrive, after those of the new one.
        """
        self.era += 1
        self._revision = copy.revision
        self._items = dict(copy.items)
        self._history = [
            item for item in self._history if item.revision <= copy.revision
        ]
        self._oldest_revision = min(self._oldest_revision, copy.revision)
        if close_connections:
            self.close_connections()
        async with self._changed:
            self._changed.notify_all()

    async def _serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._writers.add(writer)
        try:
            while not self.away:
                head = await reader.readuntil(b'\r\n\r\n')
                path = head.split(b' ')[1].decode()
                if not await self._answer(path, writer):
                    await reader.read()
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            # The caller has closed the connection.
            return
        except asyncio.CancelledError:
            # The event loop is closing and nothing awaits this task.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self,
        path: str,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a call; return whether the connection goes on."""
        self.calls += 1
        if self.silent or self.loses_answer():
            return False
        status, body = _UNAVAILABLE, b'{}'
        call = read_store_call(path)
        if not (self.unavailable or self._refuses(call, writer)):
            status, body = await self._result(call)
        head = (
            f'HTTP/1.1 {status} -\r\n'
            f'{ERA_HEADER}: {self.era}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        await asyncio.sleep(self.delay_s)
        writer.write(head.encode() + body)
        await writer.drain()
        return True

    def _refuses(self, call: StoreCall, writer: asyncio.StreamWriter) -> bool:
        caller = writer.get_extra_info('peername')[0]
        called = writer.get_extra_info('sockname')[0]
        return self.busy(caller) or self.refuses(called, call)

    async def _result(self, call: StoreCall) -> tuple[int, bytes]:
        if call.kind == 'list':
            return _OK, self._page(call)
        if call.kind == 'watch':
            return await self._watch(call)
        return _NOT_FOUND, b'{}'

    def _page(self, call: StoreCall) -> bytes:
        keys = sorted(
            key
            for key in self._items
            if key.startswith(call.prefix) and key > call.after
        )
        items = [self._items[key] for key in keys[:_PAGE_SIZE]]
        more = len(keys) > _PAGE_SIZE
        return encode_page(items, self._revision, more=more)

    async def _watch(self, call: StoreCall) -> tuple[int, bytes]:
        after, era = int(call.after), self.era
        if not self._oldest_revision <= after <= self._revision:
            return _GONE, b'{}'
        try:
            async with asyncio.timeout(call.wait_s), self._changed:
                await self._changed.wait_for(
                    lambda: self.era > era or self._changes_since(call, after)
                )
        except TimeoutError:
            # Nothing has changed.
            return _OK, encode_page([], self._revision, watch=True)
        if self.era > era:
            return _GONE, b'{}'
        found = self._changes_since(call, after)
        return _OK, encode_page(found, self._revision, watch=True)

    def _changes_since(self, call: StoreCall, after: int) -> list[Item]:
        return [
            item
            for item in self._history
            if item.revision > after and item.key.startswith(call.prefix)
        ]
