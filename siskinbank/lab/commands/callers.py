"""``siskinbank lab callers``: run the callers of demo and soak."""

import asyncio
import dataclasses
import json
import random
import time
from collections.abc import Coroutine
from typing import Any

import click

from siskinbank.commands._options import ADDRESS
from siskinbank.config.site import Address
from siskinbank.lab.standins.connection_callers import ConnectionCallers
from siskinbank.lab.standins.packet_callers import PacketCallers
from siskinbank.lab.standins.request_callers import RequestCallers
from siskinbank.util import parse_address

__all__ = ('command',)

_TICK_SECONDS = 0.05
_LONG_FLOWS = 40
_CONNECTIONS_PER_ENTRY = 3
_MAX_SHORT_FLOW_SECONDS = 3
_TICKS_PER_FLOW = 2
_TICKS_PER_BURST = 40
_DRAIN_TIMEOUT_SECONDS = 12


@click.command('callers')
@click.option(
    '--bind', type=ADDRESS, required=True, help='Address for packet answers.'
)
@click.option(
    '--fabric', type=ADDRESS, required=True, help='Address of the fabric.'
)
@click.option('--sprayed', multiple=True, help='IP:PORT of a packet service.')
@click.option('--tcp', multiple=True, help='IP:PORT of a tcp ingress.')
@click.option('--http', multiple=True, help='URL of an http ingress.')
@click.option('--seconds', type=float, default=20, show_default=True)
@click.option('--seed', type=int, default=1, show_default=True)
@click.option(
    '--resent',
    type=float,
    default=0,
    show_default=True,
    help='Share of the non-idempotent requests that are sent twice.',
)
@click.option(
    '--burst',
    type=int,
    default=0,
    show_default=True,
    help='Number of requests to send at once every two seconds.',
)
def command(
    bind: Address,
    fabric: Address,
    sprayed: tuple[str, ...],
    tcp: tuple[str, ...],
    http: tuple[str, ...],
    seconds: float,
    seed: int,
    resent: float,
    burst: int,
) -> None:
    """Generate load for a time and print the callers' reports as JSON."""
    load = _LoadGenerator(
        PacketCallers(fabric, seed),
        ConnectionCallers(),
        RequestCallers(list(http), seed, resent),
        random.Random(seed),
        burst,
    )
    services = [parse_address(text) for text in sprayed]
    entries = [parse_address(text) for text in tcp]
    asyncio.run(load.run(bind, services, entries, seconds))
    click.echo(json.dumps(load.report()))


class _LoadGenerator:
    def __init__(
        self,
        packets: PacketCallers,
        connections: ConnectionCallers,
        requests: RequestCallers,
        rng: random.Random,
        burst: int,
    ) -> None:
        self._burst = burst
        self._packets = packets
        self._connections = connections
        self._requests = requests
        self._rng = rng
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(
        self,
        bind: Address,
        services: list[Address],
        entries: list[Address],
        seconds: float,
    ) -> None:
        await self._packets.open(bind)
        for number in range(_LONG_FLOWS):
            service = services[number % len(services)]
            self._start(self._packets.run_flow(service, seconds))
        for entry in entries * _CONNECTIONS_PER_ENTRY:
            self._start(self._connections.run_flow(entry, seconds))
        await self._generate(services, seconds)
        await asyncio.wait(self._tasks, timeout=_DRAIN_TIMEOUT_SECONDS)
        await self._requests.close()

    def report(self) -> dict[str, Any]:
        flows = self._packets.reports + self._connections.reports
        return {
            'flows': [dataclasses.asdict(flow) for flow in flows],
            'requests': [
                dataclasses.asdict(request)
                for request in self._requests.reports
            ],
        }

    async def _generate(self, services: list[Address], seconds: float) -> None:
        until = time.monotonic() + seconds
        tick = 0
        while time.monotonic() < until:
            tick += 1
            is_burst = self._burst and tick % _TICKS_PER_BURST == 0
            for _ in range(self._burst if is_burst else 1):
                self._start(self._requests.run_request())
            if tick % _TICKS_PER_FLOW == 0:
                service = self._rng.choice(services)
                flow_seconds = self._rng.uniform(0, _MAX_SHORT_FLOW_SECONDS)
                self._start(self._packets.run_flow(service, flow_seconds))
            await asyncio.sleep(_TICK_SECONDS)

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
