"""Check documents: the models first, then what only the whole can show."""

from collections.abc import Callable
from typing import Any

from pydantic import ValidationError

from siskinbank.config.documents import KeyPath
from siskinbank.config.models import DocumentModel, ServiceModel
from siskinbank.kernel.findings import Findings, Place

__all__ = ('check_content',)

#: Tells where a path of the effective document was written.
Locate = Callable[[KeyPath], Place]

_HINTS = {
    'extra_forbidden': ('unknown key', 'remove it or correct its name'),
    'missing': ('missing', 'write it here or in the base file'),
}


def check_content(
    content: Any,
    locate: Locate,
    findings: Findings,
) -> DocumentModel | None:
    """Validate an effective document.

    Returns:
        The model, or None when findings were added.
    """
    try:
        model = DocumentModel.model_validate(content)
    except ValidationError as error:
        _translate(error, locate, findings)
        return None
    before = len(findings)
    _check_whole(model, locate, findings)
    return model if len(findings) == before else None


def _translate(
    error: ValidationError,
    locate: Locate,
    findings: Findings,
) -> None:
    for problem in error.errors(include_url=False):
        path = tuple(step for step in problem['loc'] if step != '[key]')
        wrong, right = _HINTS.get(
            problem['type'],
            (f'{problem["input"]!r} is not allowed', problem['msg']),
        )
        findings.add(locate(path), wrong, right)


def _check_whole(
    model: DocumentModel,
    locate: Locate,
    findings: Findings,
) -> None:
    endpoints: dict[tuple[str, str, int], KeyPath] = {}
    addresses: dict[tuple[str, int], KeyPath] = {}
    names: dict[str, KeyPath] = {}
    for name, service in model.services.items():
        path: KeyPath = ('services', name)
        _check_cold(service, path, locate, findings)
        for kind, endpoint in service.ingress.items():
            here: KeyPath = (*path, 'ingress', kind)
            key = (_socket_family(kind), endpoint.address, endpoint.port)
            _check_twice(endpoints, key, here, locate, findings)
        for host_name, host in service.hosts.items():
            there: KeyPath = (*path, 'hosts', host_name)
            _check_twice(names, host_name, there, locate, findings)
            _check_twice(
                addresses, (host.address, host.port), there, locate, findings
            )
            _check_centre(model, host.data_centre, there, locate, findings)


def _check_centre(
    model: DocumentModel,
    centre: str,
    path: KeyPath,
    locate: Locate,
    findings: Findings,
) -> None:
    if centre in model.data_centres:
        return
    known = ', '.join(sorted(model.data_centres))
    findings.add(
        locate((*path, 'data_centre')),
        f'no data centre named {centre!r}',
        f'one of {known}',
    )


def _socket_family(kind: str) -> str:
    return 'sprayed' if kind == 'fou' else 'listening'


def _check_twice(
    seen: dict[Any, KeyPath],
    key: Any,
    path: KeyPath,
    locate: Locate,
    findings: Findings,
) -> None:
    first = seen.setdefault(key, path)
    if first == path:
        return
    findings.add(
        locate(path),
        f'{key!r} is taken by {".".join(map(str, first))}',
        'give each its own',
    )


def _check_cold(
    service: ServiceModel,
    path: KeyPath,
    locate: Locate,
    findings: Findings,
) -> None:
    for what in ('connections', 'slots'):
        cold = getattr(service.cold, what)
        full = getattr(service, what)
        if cold > full:
            findings.add(
                locate((*path, 'cold', what)),
                f'cold limit {cold} is above the full limit {full}',
                f'at most {full}',
            )
