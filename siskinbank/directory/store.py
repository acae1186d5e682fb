"""The published documents that a process holds, and which is in force.

Sections and manifests are kept compressed under their digests, as peers pass
them on. The document with the highest key (generation, then digest) that is
valid is in force; nothing with a lower key than any that a peer had in force
is taken, so that a stale platform cannot turn a new process back.
"""

import json
import zlib
from collections.abc import Callable
from typing import Any

from siskinbank.config.sections import (
    DocumentKey,
    Manifest,
    join_sections,
    parse_manifest,
)
from siskinbank.config.site import Site
from siskinbank.kernel import events
from siskinbank.kernel.findings import Findings, Place
from siskinbank.kernel.metrics import Metrics
from siskinbank.kernel.reasons import Ignored
from siskinbank.util import hex_digest

__all__ = ('NOTHING', 'DocumentStore', 'Judge', 'judge_document')

MAX_VALUE_BYTES = 1024 * 1024
_COMPRESSION = 6

#: The key of having nothing.
NOTHING: DocumentKey = (0, b'')

#: Returns the bytes of a section by its name.
ReadSection = Callable[[str], bytes]
#: Makes the site of a manifest and its sections, or adds findings.
Judge = Callable[[Manifest, ReadSection, Findings], Site | None]


def judge_document(
    manifest: Manifest,
    read_section: ReadSection,
    findings: Findings,
) -> Site | None:
    """Parse and check all sections of a document."""
    parsed: dict[str, Any] = {}
    for name in manifest.sections:
        try:
            parsed[name] = json.loads(read_section(name))
        except ValueError as error:
            place = Place(f'generation-{manifest.generation}', 1, name)
            findings.add(place, f'not JSON ({error})', 'publish JSON')
    if findings:
        return None
    return join_sections(manifest, parsed, findings)


class DocumentStore:
    """Compressed documents by digest, and the manifest in force."""

    def __init__(
        self,
        log: events.EventLog,
        metrics: Metrics,
        judge: Judge = judge_document,
    ) -> None:
        """Start with nothing."""
        self._log = log
        self._metrics = metrics
        self._judge = judge
        self._blobs: dict[bytes, bytes] = {}
        self._manifests: dict[bytes, Manifest] = {}
        self._conflicts: set[int] = set()
        self._older: DocumentKey = NOTHING
        self.in_force: DocumentKey = NOTHING
        self.refused: DocumentKey = NOTHING
        self.floor: DocumentKey = NOTHING
        self.findings: list[str] = []

    def blob(self, digest: bytes) -> bytes | None:
        """Return a document's compressed bytes."""
        return self._blobs.get(digest)

    def put_raw(self, raw: bytes) -> None:
        """Keep a document that was read from the platform."""
        digest = bytes.fromhex(hex_digest(raw))
        self._blobs[digest] = zlib.compress(raw, _COMPRESSION)

    def put_blob(self, digest: bytes, blob: bytes) -> bool:
        """Keep a document that a peer passed on, if its digest is right."""
        raw = _decompress(blob)
        if raw is None or hex_digest(raw) != digest.hex():
            return False
        self._blobs[digest] = blob
        return True

    def copy_from(self, other: 'DocumentStore') -> None:
        """Hold what another store of this process holds."""
        self._blobs = dict(other._blobs)  # noqa: SLF001
        self._manifests = dict(other._manifests)  # noqa: SLF001
        self.in_force = other.in_force

    def wants(self, key: DocumentKey) -> bool:
        """Whether a document would replace the one in force."""
        if key == self.refused or key <= self.in_force:
            self._note_unwanted(key)
            return False
        if key < self.floor:
            self._note_older(key)
            return False
        if key[0] == self.in_force[0]:
            self._note_conflict(key)
        return key[0] > 0

    def raise_floor(self, key: DocumentKey) -> None:
        """Take nothing lower than what a peer has in force."""
        self.floor = max(self.floor, key)

    def missing(self, key: DocumentKey) -> list[bytes]:
        """Return the digests that are still needed for a document.

        Raises:
            ValueError: what is held under the digest is no manifest.
        """
        manifest = self._manifest(key)
        if manifest is None:
            return [key[1]]
        needed = (bytes.fromhex(text) for text in manifest.sections.values())
        return [digest for digest in needed if digest not in self._blobs]

    def try_adopt(self, key: DocumentKey) -> Site | None:
        """Judge a complete document; return its site if it is in force now."""
        manifest = self._manifest(key)
        if manifest is None or not self.wants(key):
            return None

        def read_section(name: str) -> bytes:
            return _raw(self._blobs[bytes.fromhex(manifest.sections[name])])

        findings = Findings()
        site = self._judge(manifest, read_section, findings)
        if site is None:
            self._refuse(key, findings)
            return None
        self.in_force = key
        self._prune()
        return site

    def refuse(self, key: DocumentKey, wrong: str) -> None:
        """Refuse a document that cannot even be read."""
        findings = Findings()
        place = Place(f'generation-{key[0]}')
        findings.add(place, wrong, 'publish it again')
        self._refuse(key, findings)

    def _refuse(self, key: DocumentKey, findings: Findings) -> None:
        self.refused = max(self.refused, key)
        self.findings = [str(finding) for finding in findings]
        self._metrics.count(Ignored.invalid)
        for finding in findings:
            self._log.write(events.REFUSED, finding=finding)
        self._prune()

    def _note_unwanted(self, key: DocumentKey) -> None:
        if key[0] == self.in_force[0]:
            self._note_conflict(key)
        elif key[0] < self.in_force[0]:
            self._metrics.count(Ignored.older)
            self._note_older(key)

    def _note_older(self, key: DocumentKey) -> None:
        if key[0] and key != self._older:
            self._older = key
            self._log.write(
                events.OLDER,
                offered=key[0],
                in_force=self.in_force[0],
            )

    def _note_conflict(self, key: DocumentKey) -> None:
        if key == self.in_force or not key[0]:
            return
        self._metrics.count(Ignored.conflict)
        if key[0] not in self._conflicts:
            self._conflicts.add(key[0])
            self._log.write(
                events.CONFLICT,
                generation=key[0],
                digests=f'{key[1].hex()},{self.in_force[1].hex()}',
            )

    def _manifest(self, key: DocumentKey) -> Manifest | None:
        known = self._manifests.get(key[1])
        if known is not None:
            return known
        blob = self._blobs.get(key[1])
        if blob is None:
            return None
        manifest = parse_manifest(_raw(blob))
        if manifest.key != key:
            raise ValueError('the manifest is of another generation')
        self._manifests[key[1]] = manifest
        return manifest

    def _prune(self) -> None:
        """Forget what neither the one in force nor the refused one needs."""
        kept = {self.in_force[1], self.refused[1]}
        self._manifests = {
            digest: manifest
            for digest, manifest in self._manifests.items()
            if digest in kept
        }
        for manifest in self._manifests.values():
            kept.update(map(bytes.fromhex, manifest.sections.values()))
        self._blobs = {
            digest: blob
            for digest, blob in self._blobs.items()
            if digest in kept
        }


def _decompress(blob: bytes) -> bytes | None:
    """Decompress at most one value's size."""
    worker = zlib.decompressobj()
    try:
        raw = worker.decompress(blob, MAX_VALUE_BYTES)
    except zlib.error:
        return None
    return raw if worker.eof else None


def _raw(blob: bytes) -> bytes:
    return zlib.decompress(blob)
