"""Tests with real processes: each sidecar follows the operator's keys.

All tests guard against an evacuation of which a sidecar does not hear, although
the store answers it.
"""

import asyncio
from dataclasses import replace
from functools import partial

from siskinbank.lab.rig.fleet import Program
from siskinbank.platform.encoding import StoreCall
from siskinbank.platform.store import (
    EVACUATIONS_PREFIX,
    HOSTS_PREFIX,
    OPERATOR_PREFIX,
)
from siskinbank.relay import messages
from tests.relay.fleet_case import FleetCase

# Limits of the platform, in seconds: until an evacuation is in force, and the
# time without a disruption after which it counts.
_EVACUATION_S = 5.0
_CONTACT_S = 4.0
# Longer than it takes a sidecar to read the store in place of the entries, in
# seconds.
_PARTITION_S = 6.0
_FLAGS = ' host.changed flags='


class TestOperatorKeys(FleetCase):
    """Two entries and three hosts, each with its sidecar."""

    def is_evacuated(self, program: Program) -> bool:
        """Return whether a sidecar goes by an evacuation, from its log."""
        _, found, rest = program.log.rpartition(_FLAGS)
        return bool(found) and bool(
            int(rest.split()[0]) & messages.EVACUATED,
        )

    async def set_evacuated(self, is_evacuated: bool) -> None:
        """Evacuate the first data centre or take it back, and check that."""
        name = self.fleet.data_centre(0)
        content = b'{}' if is_evacuated else None
        await self.fleet.store.put(f'{EVACUATIONS_PREFIX}{name}', content)
        sidecars = [
            sidecar
            for index, sidecar in enumerate(self.fleet.sidecars)
            if self.fleet.data_centre(index) == name
        ]
        async with asyncio.timeout(_EVACUATION_S):
            while any(
                self.is_evacuated(sidecar) != is_evacuated
                for sidecar in sidecars
            ):
                await asyncio.sleep(0.05)

    async def test_entries_are_away(self) -> None:
        """Before and after restarts of the sidecars and an outage."""
        for entry in self.fleet.entries:
            entry.kill()
        await asyncio.sleep(_PARTITION_S)
        await self.set_evacuated(True)
        await self.set_evacuated(False)
        self.fleet.store.unavailable = True
        await asyncio.sleep(_PARTITION_S)
        self.fleet.store.unavailable = False
        await asyncio.sleep(_CONTACT_S)
        await self.set_evacuated(True)
        for sidecar in self.fleet.sidecars:
            sidecar.kill()
            sidecar.start()
        await asyncio.sleep(_CONTACT_S)
        await self.set_evacuated(False)
        await self.set_evacuated(True)

    async def test_entry_gets_one_kind_of_answers(self) -> None:
        """Each entry in turn gets no listing, or no operator keys."""
        for entry in self.fleet.entries:
            ip = await self.separate_store(entry)
            for prefix in (HOSTS_PREFIX, OPERATOR_PREFIX):
                refused = partial(_is_call_for, ip, prefix)
                self.fleet.store.refuses = refused
                # Hosts write all the time: the listings of two entries differ.
                await self.fleet.register(0)
                await asyncio.sleep(_CONTACT_S)
                with self.subTest(entry=entry.settings.name, prefix=prefix):
                    await self.set_evacuated(True)
                    await self.set_evacuated(False)

    async def separate_store(self, entry: Program) -> str:
        """Restart an entry with an address of its own for the store."""
        _, port = entry.settings.store
        address = (entry.settings.ip, port)
        await self.fleet.store.open(address)
        entry.kill()
        entry.settings = replace(entry.settings, store=address)
        entry.start()
        await self.fleet.wait_until_ready()
        return address[0]


def _is_call_for(
    expected_ip: str, prefix: str, ip: str, call: StoreCall
) -> bool:
    return (ip, call.prefix) == (expected_ip, prefix)
