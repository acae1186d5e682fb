"""An ingress plug-in that tells each caller which hosts would serve it."""

import asyncio

from siskinbank.entry.context import EntryContext
from siskinbank.ingress import IngressHandle
from siskinbank.ingress.registry import IngressPlugin
from siskinbank.ingress.tcp import find_service
from siskinbank.util import digest64

__all__ = ('plugin',)


async def start_hello(
    context: EntryContext,
    address: str,
    port: int,
) -> IngressHandle:
    """Listen for callers and answer each one in a task.

    Raises:
        OSError: the address could not be bound.
    """

    async def serve(
        _reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        caller = '{0}:{1}'.format(*writer.get_extra_info('peername')[:2])
        service = find_service(context, 'hello', port)
        hosts = (
            context.router.fresh(service, digest64(caller)) if service else []
        )
        names = ' '.join(host.name for host in hosts)
        writer.write(f'{names}\n'.encode())
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, address, port)

    async def drain() -> None:
        server.close()

    return IngressHandle(drain)


plugin = IngressPlugin(
    name='hello',
    summary='name the hosts that would serve a caller',
    start=start_hello,
)
