"""Split an effective document into published sections, and join them again."""

import json
from dataclasses import dataclass
from typing import Any

from siskinbank.config.check import check_content
from siskinbank.config.documents import KeyPath, dotted
from siskinbank.config.models import DocumentModel, ServiceModel
from siskinbank.config.site import (
    Cold,
    DataCentre,
    Endpoint,
    Host,
    Service,
    Site,
)
from siskinbank.kernel.findings import Findings, Place
from siskinbank.util import canonical_json, hex_digest

__all__ = (
    'DocumentKey',
    'Manifest',
    'join_sections',
    'make_site',
    'parse_manifest',
    'split_sections',
)

#: Orders documents: the generation, then the digest over the manifest.
DocumentKey = tuple[int, bytes]

_SITE = 'site'
_SERVICE = 'service/'
DIGEST_DIGITS = 32


@dataclass(frozen=True, slots=True)
class Manifest:
    """A generation number and the digest of each section."""

    generation: int
    sections: dict[str, str]

    @property
    def digest(self) -> str:
        """The digest over the whole manifest."""
        return hex_digest(self.raw)

    @property
    def raw(self) -> bytes:
        """The one byte form of the manifest."""
        return canonical_json([self.generation, self.sections])

    @property
    def key(self) -> DocumentKey:
        """What decides between two documents: the higher one wins."""
        return self.generation, bytes.fromhex(self.digest)


def parse_manifest(raw: bytes) -> Manifest:
    """Read the byte form of a manifest.

    Raises:
        ValueError: the bytes are no manifest.
    """
    parsed = json.loads(raw)
    if not isinstance(parsed, list) or len(parsed) != 2:
        raise ValueError('not a manifest')
    generation, sections = parsed
    if not isinstance(generation, int) or not isinstance(sections, dict):
        raise ValueError('not a manifest')
    for digest in sections.values():
        if not isinstance(digest, str) or len(digest) != DIGEST_DIGITS:
            raise ValueError('not a manifest')
        bytes.fromhex(digest)
    return Manifest(generation, sections)


def split_sections(model: DocumentModel) -> dict[str, bytes]:
    """Return the published sections: ``site``, and one for each service."""
    whole = model.model_dump(mode='json')
    services = whole.pop('services')
    sections = {_SITE: canonical_json(whole)}
    for name, service in services.items():
        sections[f'{_SERVICE}{name}'] = canonical_json(service)
    return sections


def join_sections(
    manifest: Manifest,
    sections: dict[str, Any],
    findings: Findings,
) -> Site | None:
    """Make the site from published sections.

    Args:
        manifest: the generation and digests that the sections belong to.
        sections: the parsed sections by name.
        findings: takes what is wrong.

    Returns:
        The site, or None when findings were added.
    """
    source = f'generation-{manifest.generation}'
    head = sections.get(_SITE)
    if not isinstance(head, dict):
        findings.add(Place(source, 1, _SITE), 'missing', 'publish it')
        return None
    services = {
        name.removeprefix(_SERVICE): section
        for name, section in sections.items()
        if name.startswith(_SERVICE)
    }

    def locate(path: KeyPath) -> Place:
        return Place(source, 1, dotted(path))

    model = check_content({**head, 'services': services}, locate, findings)
    if model is None:
        return None
    return make_site(model, manifest)


def make_site(model: DocumentModel, manifest: Manifest) -> Site:
    """Return the frozen form of a checked document."""
    centres = {
        name: DataCentre(name, centre.region, centre.state)
        for name, centre in model.data_centres.items()
    }
    services = {
        name: _make_service(name, service)
        for name, service in model.services.items()
    }
    return Site(
        model.site,
        manifest.generation,
        centres,
        services,
        manifest.sections,
    )


def _make_service(name: str, model: ServiceModel) -> Service:
    endpoints = tuple(
        Endpoint(kind, endpoint.address, endpoint.port)
        for kind, endpoint in model.ingress.items()
    )
    hosts = tuple(
        Host(
            host_name,
            host.data_centre,
            (host.address, host.port),
            host.weight,
            host.state,
        )
        for host_name, host in model.hosts.items()
    )
    cold = Cold(
        model.cold.connections,
        model.cold.slots,
        model.cold.warm_up_seconds,
    )
    return Service(
        name,
        endpoints,
        model.connections,
        model.slots,
        cold,
        hosts,
    )
