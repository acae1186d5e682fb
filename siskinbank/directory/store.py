"""The configuration documents of a process, and which one is in force.

Sections and manifests are stored compressed by digest, in the form in which
peers transfer them. The valid document with the highest key (generation, then
digest) is in force. Documents with a lower key than any that a peer has in
force are ignored, so that a stale platform cannot make a new process adopt an
older generation.
"""

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
from siskinbank.util import hex_digest, parse_json

__all__ = ('NO_DOCUMENT', 'DocumentStore', 'Judge', 'judge_document')

MAX_VALUE_BYTES = 1024 * 1024
_COMPRESSION_LEVEL = 6

#: The key when there is no document.
NO_DOCUMENT: DocumentKey = (0, b'')

#: Returns the bytes of a section by its name.
ReadSection = Callable[[str], bytes]
#: Builds the site of a manifest and its sections, or adds findings.
Judge = Callable[[Manifest, ReadSection, Findings], Site | None]


def judge_document(
    manifest: Manifest,
    read_section: ReadSection,
    findings: Findings,
) -> Site | None:
    """Parse and validate all sections of a document."""
    parsed: dict[str, Any] = {}
    for name in manifest.sections:
        try:
            parsed[name] = parse_json(read_section(name))
        except ValueError as error:
            place = Place(f'generation-{manifest.generation}', 1, name)
            findings.add(place, f'not JSON ({error})', 'publish JSON')
    if findings:
        return None
    return join_sections(manifest, parsed, findings)


class DocumentStore:
    """Compressed documents by digest, and the key in force."""

    def __init__(
        self,
        log: events.EventLog,
        metrics: Metrics,
        judge: Judge = judge_document,
    ) -> None:
        """Create an empty store; ``judge`` validates documents."""
        self._log = log
        self._metrics = metrics
        self._judge = judge
        self._blobs: dict[bytes, bytes] = {}
        self._manifests: dict[bytes, Manifest] = {}
        self._logged_conflicts: set[int] = set()
        self._last_older: DocumentKey = NO_DOCUMENT
        self.in_force: DocumentKey = NO_DOCUMENT
        self.refused: DocumentKey = NO_DOCUMENT
        self.floor: DocumentKey = NO_DOCUMENT
        self.findings: list[str] = []

    def blob(self, digest: bytes) -> bytes | None:
        """Return a document's compressed bytes."""
        return self._blobs.get(digest)

    def put_raw(self, raw: bytes) -> None:
        """Store a document that was read from the platform."""
        digest = bytes.fromhex(hex_digest(raw))
        self._blobs[digest] = zlib.compress(raw, _COMPRESSION_LEVEL)

    def put_blob(self, digest: bytes, blob: bytes) -> bool:
        """Store a document that a peer sent; return False on a wrong digest."""
        raw = _decompress_bounded(blob)
        if raw is None or hex_digest(raw) != digest.hex():
            return False
        self._blobs[digest] = blob
        return True

    def copy_from(self, other: 'DocumentStore') -> None:
        """Copy the contents of another store of this process."""
        self._blobs = dict(other._blobs)  # noqa: SLF001
        self._manifests = dict(other._manifests)  # noqa: SLF001
        self.in_force = other.in_force

    def wants(self, key: DocumentKey) -> bool:
        """Return whether a document would replace the one in force."""
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
        """Ignore documents below ``key``, which a peer has in force."""
        self.floor = max(self.floor, key)

    def missing(self, key: DocumentKey) -> list[bytes]:
        """Return the digests that a document still lacks.

        Raises:
            ValueError: the blob is not the manifest of this document.
        """
        manifest = self._manifest(key)
        if manifest is None:
            return [key[1]]
        needed = (bytes.fromhex(text) for text in manifest.sections.values())
        return [digest for digest in needed if digest not in self._blobs]

    def try_adopt(self, key: DocumentKey) -> Site | None:
        """Validate a complete document; return its site if it is adopted."""
        manifest = self._manifest(key)
        if manifest is None or not self.wants(key):
            return None

        def read_section(name: str) -> bytes:
            return _decompress_trusted(
                self._blobs[bytes.fromhex(manifest.sections[name])]
            )

        findings = Findings()
        site = self._judge(manifest, read_section, findings)
        if site is None:
            self._refuse(key, findings)
            return None
        self.in_force = key
        self._prune()
        return site

    def refuse(self, key: DocumentKey, wrong: str) -> None:
        """Refuse a document that cannot be parsed."""
        findings = Findings()
        place = Place(f'generation-{key[0]}')
        findings.add(place, wrong, 'publish it again')
        self._refuse(key, findings)

    def _refuse(self, key: DocumentKey, findings: Findings) -> None:
        self.refused = max(self.refused, key)
        self.findings = [str(finding) for finding in findings]
        self._metrics.count(Ignored.invalid)
        for finding in findings:
            self._log.write(events.CONFIGURATION_REFUSED, finding=finding)
        self._prune()

    def _note_unwanted(self, key: DocumentKey) -> None:
        if key[0] == self.in_force[0]:
            self._note_conflict(key)
        elif key[0] < self.in_force[0]:
            self._metrics.count(Ignored.older)
            self._note_older(key)

    def _note_older(self, key: DocumentKey) -> None:
        if key[0] and key != self._last_older:
            self._last_older = key
            self._log.write(
                events.OLDER_CONFIGURATION_IGNORED,
                offered=key[0],
                in_force=self.in_force[0],
            )

    def _note_conflict(self, key: DocumentKey) -> None:
        if key == self.in_force or not key[0]:
            return
        self._metrics.count(Ignored.conflict)
        if key[0] not in self._logged_conflicts:
            self._logged_conflicts.add(key[0])
            self._log.write(
                events.GENERATION_CONFLICT,
                generation=key[0],
                digests=f'{key[1].hex()},{self.in_force[1].hex()}',
            )

    def _manifest(self, key: DocumentKey) -> Manifest | None:
        cached = self._manifests.get(key[1])
        if cached is not None:
            return cached
        blob = self._blobs.get(key[1])
        if blob is None:
            return None
        manifest = parse_manifest(_decompress_trusted(blob))
        if manifest.key != key:
            raise ValueError('the manifest belongs to another generation')
        self._manifests[key[1]] = manifest
        return manifest

    def _prune(self) -> None:
        """Remove blobs that the documents in force and refused do not use."""
        used_digests = {self.in_force[1], self.refused[1]}
        self._manifests = {
            digest: manifest
            for digest, manifest in self._manifests.items()
            if digest in used_digests
        }
        for manifest in self._manifests.values():
            used_digests.update(map(bytes.fromhex, manifest.sections.values()))
        self._blobs = {
            digest: blob
            for digest, blob in self._blobs.items()
            if digest in used_digests
        }


def _decompress_bounded(blob: bytes) -> bytes | None:
    """Decompress up to the size limit of a value; return None on failure."""
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(blob, MAX_VALUE_BYTES)
    except zlib.error:
        return None
    return raw if decompressor.eof else None


def _decompress_trusted(blob: bytes) -> bytes:
    return zlib.decompress(blob)
