"""Measure the control state of one process and the cost of a change."""

import gc
import random
import time
import tracemalloc
from typing import Any

import msgpack

from siskinbank.directory.roster import Roster, parse_record, record_of
from siskinbank.directory.store import DocumentStore, judge_document
from siskinbank.kernel.findings import Findings
from siskinbank.kernel.metrics import Metrics
from siskinbank.lab.virtual_fleet import VirtualFleet
from siskinbank.lab.virtual_node import CountingLog

__all__ = ('measure_state',)

_BYTES_PER_KILOBYTE = 1024
_MILLISECONDS_PER_SECOND = 1000


def measure_state(size: int, seed: int) -> dict[str, float]:
    """Return memory in KiB and the CPU time of a change in milliseconds.

    ``roster_kilobytes`` is the instance list with its index,
    ``documents_kilobytes`` the compressed sections, ``site_kilobytes`` the
    configuration in force. ``judge_ms`` is a full validation of a changed
    configuration, ``merge_ms`` a merge of one changed record with a new
    index.

    Args:
        size: number of processes in the fleet.
        seed: seed of the simulated fleet.
    """
    fleet = VirtualFleet(size, seed)
    fleet.publish()
    manifest = fleet.platform.manifest
    packed = [
        msgpack.packb(record_of(instance, 1).parts)
        for instance in fleet.instances
    ]
    # Keeps the adopted site in memory until its size has been measured.
    references: list[Any] = []
    figures: dict[str, float] = {}
    tracemalloc.start()
    roster = Roster().merged(
        record
        for raw in packed
        if (record := parse_record(msgpack.unpackb(raw))) is not None
    )[0]
    roster.index()
    figures['roster_kilobytes'] = _memory_growth(0)
    store = DocumentStore(CountingLog(), Metrics())
    store.put_raw(manifest.raw)
    for raw in fleet.platform.sections.values():
        store.put_raw(raw)
    before = figures['roster_kilobytes']
    figures['documents_kilobytes'] = _memory_growth(before)
    before += figures['documents_kilobytes']
    site = store.try_adopt(manifest.key)
    references.append(site)
    figures['site_kilobytes'] = _memory_growth(before)
    tracemalloc.stop()
    figures['judge_ms'] = _time_validation(fleet)
    figures['merge_ms'] = _time_merge(fleet, roster, seed)
    return figures


def _memory_growth(before: float) -> float:
    gc.collect()
    return tracemalloc.get_traced_memory()[0] / _BYTES_PER_KILOBYTE - before


def _time_validation(fleet: VirtualFleet) -> float:
    manifest = fleet.platform.manifest
    sections = fleet.platform.sections
    started = time.process_time()
    judge_document(
        manifest,
        lambda name: sections[bytes.fromhex(manifest.sections[name])],
        Findings(),
    )
    return (time.process_time() - started) * _MILLISECONDS_PER_SECOND


def _time_merge(fleet: VirtualFleet, roster: Roster, seed: int) -> float:
    changed = random.Random(seed).choice(fleet.instances)
    started = time.process_time()
    merged = roster.merged([record_of(changed, 2)])[0]
    merged.index()
    return (time.process_time() - started) * _MILLISECONDS_PER_SECOND
