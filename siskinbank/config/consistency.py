"""Find entries of valid documents that have no effect or contradict others.

A document with such entries is served as it says, so they are warnings. A
process doesn't look for them.
"""

from collections.abc import Iterator, Sequence
from difflib import get_close_matches
from typing import Any

from siskinbank.config.check import Locate
from siskinbank.config.documents import Document, KeyPath
from siskinbank.config.models import DocumentModel, HostModel, ServiceModel
from siskinbank.config.site import CentreState, HostState
from siskinbank.kernel.findings import Findings

__all__ = ('add_unknown_names', 'add_warnings')

_WILDCARD_ADDRESS = '0.0.0.0'
# Names that a finding lists if none is similar to the unknown one.
_MAX_NAMES = 5
# The limit that applies to the work of each ingress. Ingresses of plugins may
# use either, so services with one of them are not checked.
_LIMIT_OF_INGRESS = {
    'fou': 'connections',
    'tcp': 'connections',
    'http': 'slots',
}


def add_unknown_names(
    documents: Sequence[Document],
    findings: Findings,
) -> None:
    """Add a finding for each incomplete entry of a name that is new.

    An overlay that changes a service or a host must name one of an earlier
    file; one that adds it must define it completely.
    """
    for index, overlay in enumerate(documents):
        earlier = documents[:index]
        _add_unknown(earlier, overlay, ('services',), ServiceModel, findings)
        for service in _mapping(overlay.content, ('services',)):
            path = ('services', service, 'hosts')
            _add_unknown(earlier, overlay, path, HostModel, findings)


def _add_unknown(
    earlier: Sequence[Document],
    overlay: Document,
    path: KeyPath,
    model: type[HostModel] | type[ServiceModel],
    findings: Findings,
) -> None:
    known = {
        name
        for document in earlier
        for name in _mapping(document.content, path)
    }
    required = {
        name
        for name, field in model.model_fields.items()
        if field.is_required()
    }
    for name, entry in _mapping(overlay.content, path).items():
        is_new = known and name not in known
        if is_new and isinstance(entry, dict) and required - set(entry):
            names = ', '.join(_similar_names(name, known))
            findings.add(
                overlay.place((*path, name)),
                f'no earlier file has {name!r}, and it is incomplete here',
                f'change one of {names}, or define it completely',
            )


def _similar_names(name: str, known: set[str]) -> list[str]:
    """Return the most similar name, or some names if none is similar."""
    return get_close_matches(name, known, 1) or sorted(known)[:_MAX_NAMES]


def _mapping(content: dict[str, Any], path: KeyPath) -> dict[str, Any]:
    """Return the mapping at a path, empty if there is none."""
    found: Any = content
    for step in path:
        found = found.get(step) if isinstance(found, dict) else None
    return found if isinstance(found, dict) else {}


def add_warnings(
    model: DocumentModel,
    documents: Sequence[Document],
    locate: Locate,
    warnings: Findings,
) -> None:
    """Add a warning for each entry that has no effect or contradicts another.

    Args:
        model: the effective document.
        documents: the base file and its overlays.
        locate: returns the place of a path of the effective document.
        warnings: collects the warnings.
    """
    for path, problem, correction in (
        *_data_centre_warnings(model, documents),
        *_service_warnings(model, documents),
    ):
        warnings.add(locate(path), f'warning: {problem}', correction)


#: Path, problem and correction.
_Warning = tuple[KeyPath, str, str]


def _data_centre_warnings(
    model: DocumentModel,
    documents: Sequence[Document],
) -> Iterator[_Warning]:
    used = {
        host.data_centre
        for service in model.services.values()
        for host in service.hosts.values()
    }
    for name in sorted(model.data_centres.keys() - used):
        path = ('data_centres', name)
        is_out = model.data_centres[name].state is CentreState.out
        if is_out or _is_added_to_others(documents, name):
            names = ', '.join(_similar_names(name, used)) or 'none'
            yield (
                path,
                'no host is in this data centre',
                f'correct the name (hosts are in {names}), or remove it',
            )


def _is_added_to_others(documents: Sequence[Document], name: str) -> bool:
    """Return whether a data centre joins those of an earlier file."""
    centres = [
        _mapping(document.content, ('data_centres',)) for document in documents
    ]
    defining = [names for names in centres if names]
    return name not in defining[0]


def _service_warnings(
    model: DocumentModel,
    documents: Sequence[Document],
) -> Iterator[_Warning]:
    for name, service in model.services.items():
        path = ('services', name)
        if service.hosts:
            yield from _pool_warnings(model, service, path)
        elif any(path in overlay.lines for overlay in documents[1:]):
            yield (
                path,
                'the service has no hosts, so it is not served here',
                'add hosts, or remove the service here',
            )
        yield from _ingress_warnings(service, path)
        yield from _warm_up_warnings(service, path)


def _pool_warnings(
    model: DocumentModel,
    service: ServiceModel,
    path: KeyPath,
) -> Iterator[_Warning]:
    accepting = [
        host
        for host in service.hosts.values()
        if host.state is HostState.active
        and model.data_centres[host.data_centre].state is not CentreState.out
    ]
    if not accepting:
        yield (
            (*path, 'hosts'),
            'all hosts are draining or in data centres that are out',
            'keep one host active, or new work is refused',
        )


def _ingress_warnings(
    service: ServiceModel,
    path: KeyPath,
) -> Iterator[_Warning]:
    fou = service.ingress.get('fou')
    if fou and fou.address == _WILDCARD_ADDRESS:
        yield (
            (*path, 'ingress', 'fou'),
            f'no packet has the target {_WILDCARD_ADDRESS}',
            "state the service's address",
        )
    if service.ingress.keys() <= _LIMIT_OF_INGRESS.keys():
        used = {_LIMIT_OF_INGRESS[ingress] for ingress in service.ingress}
        unused = set(_LIMIT_OF_INGRESS.values()) - used
        for limit in sorted(unused & service.model_fields_set):
            names = ', '.join(sorted(service.ingress))
            yield (
                (*path, limit),
                f'the limit does not apply to the ingress {names}',
                'remove it',
            )


def _warm_up_warnings(
    service: ServiceModel,
    path: KeyPath,
) -> Iterator[_Warning]:
    cold = service.cold
    is_full = (cold.connections, cold.slots) == (
        service.connections,
        service.slots,
    )
    if cold.warm_up_seconds and is_full:
        yield (
            (*path, 'cold', 'warm_up_seconds'),
            'the cold limits are the full ones, so nothing warms up',
            'state 0 seconds or lower limits',
        )
    elif not cold.warm_up_seconds and not is_full:
        yield (
            (*path, 'cold'),
            'the cold limits never apply, as the warm-up takes 0 seconds',
            f'state a time, or the full limits {service.connections} and '
            f'{service.slots}',
        )
