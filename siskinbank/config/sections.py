"""Split an effective document into published sections and join them."""

from dataclasses import dataclass
from typing import Any

from siskinbank.config.check import check_content
from siskinbank.config.documents import KeyPath, dotted
from siskinbank.config.models import DocumentModel, ServiceModel
from siskinbank.config.site import (
    ColdLimits,
    DataCentre,
    Endpoint,
    Host,
    Service,
    Site,
)
from siskinbank.kernel.findings import Findings, Place
from siskinbank.util import canonical_json, hex_digest, parse_json

__all__ = (
    'DocumentKey',
    'Manifest',
    'combine_sections',
    'join_sections',
    'make_site',
    'parse_manifest',
    'split_sections',
)

#: Sort key of documents: the generation, then the digest of the manifest.
DocumentKey = tuple[int, bytes]

_SITE_SECTION = 'site'
_SERVICE_PREFIX = 'service/'
DIGEST_DIGITS = 32


@dataclass(frozen=True, slots=True)
class Manifest:
    """The generation of a document and the digests of its sections.

    Attributes:
        generation: the generation number of the document.
        sections: the hexadecimal digests by section name.
    """

    generation: int
    sections: dict[str, str]

    @property
    def digest(self) -> str:
        """The digest of the manifest."""
        return hex_digest(self.raw)

    @property
    def raw(self) -> bytes:
        """The canonical encoding of the manifest."""
        return canonical_json([self.generation, self.sections])

    @property
    def key(self) -> DocumentKey:
        """The sort key of the document; the highest one is in force."""
        return self.generation, bytes.fromhex(self.digest)


def parse_manifest(raw: bytes) -> Manifest:
    """Parse an encoded manifest.

    Raises:
        ValueError: the bytes are not a manifest.
    """
    parsed = parse_json(raw)
    if not isinstance(parsed, list) or len(parsed) != 2:
        raise ValueError('manifest is not a list of two elements')
    generation, sections = parsed
    if not isinstance(generation, int) or not isinstance(sections, dict):
        raise ValueError(
            'manifest has a generation or sections of a wrong type'
        )
    for digest in sections.values():
        if not isinstance(digest, str) or len(digest) != DIGEST_DIGITS:
            raise ValueError('manifest has a malformed section digest')
        bytes.fromhex(digest)
    return Manifest(generation, sections)


def split_sections(model: DocumentModel) -> dict[str, bytes]:
    """Return the published sections: ``site`` and one for each service."""
    document = model.model_dump(mode='json')
    services = document.pop('services')
    sections = {_SITE_SECTION: canonical_json(document)}
    for name, service in services.items():
        sections[f'{_SERVICE_PREFIX}{name}'] = canonical_json(service)
    return sections


def combine_sections(sections: dict[str, Any]) -> dict[str, Any]:
    """Return the effective document of published sections, not validated.

    Args:
        sections: the parsed sections by name.

    Raises:
        KeyError: the section ``site`` is missing.
        TypeError: the section ``site`` is not a mapping.
    """
    services = {
        name.removeprefix(_SERVICE_PREFIX): section
        for name, section in sections.items()
        if name.startswith(_SERVICE_PREFIX)
    }
    return {**sections[_SITE_SECTION], 'services': services}


def join_sections(
    manifest: Manifest,
    sections: dict[str, Any],
    findings: Findings,
) -> Site | None:
    """Create the site from published sections.

    Args:
        manifest: the manifest of the sections.
        sections: the parsed sections by name.
        findings: collects the problems.

    Returns:
        The site, or None when findings were added.
    """
    source = f'generation-{manifest.generation}'
    site_section = sections.get(_SITE_SECTION)
    if not isinstance(site_section, dict):
        findings.add(Place(source, 1, _SITE_SECTION), 'missing', 'publish it')
        return None

    def locate(path: KeyPath) -> Place:
        return Place(source, 1, dotted(path))

    model = check_content(combine_sections(sections), locate, findings)
    if model is None:
        return None
    return make_site(model, manifest)


def make_site(model: DocumentModel, manifest: Manifest) -> Site:
    """Create the site from a validated document."""
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
        Endpoint(ingress, endpoint.address, endpoint.port)
        for ingress, endpoint in model.ingress.items()
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
    cold = ColdLimits(
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
