"""Check documents: the models first, then what only the whole can show."""

from collections.abc import Callable
from typing import Any

from pydantic import ValidationError
from pydantic_core import ErrorDetails

from siskinbank.config.documents import KeyPath, dotted
from siskinbank.config.models import DocumentModel, ServiceModel
from siskinbank.kernel.findings import Findings, Place

__all__ = ('check_content',)

#: Tells where a path of the effective document was written.
Locate = Callable[[KeyPath], Place]

_SHOWN_CHARACTERS = 60
_ANY_ADDRESS = '0.0.0.0'
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
        wrong, right = _HINTS.get(problem['type'], _explain(problem))
        findings.add(locate(path), wrong, right)


def _explain(problem: ErrorDetails) -> tuple[str, str]:
    shown = repr(problem['input'])
    if len(shown) > _SHOWN_CHARACTERS:
        shown = f'{shown[:_SHOWN_CHARACTERS]}...'
    message = problem['msg'].removeprefix('Value error, ')
    right = message.replace('Input should', 'it should')
    return f'{shown} is not allowed', right


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
            _check_any_address(endpoints, key, here, locate, findings)
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
        f'{_shown(key)} is taken by {dotted(first)}',
        'give each its own',
    )


def _shown(key: Any) -> str:
    if isinstance(key, tuple):
        return ':'.join(str(part) for part in key[-2:])
    return repr(key)


def _check_any_address(
    endpoints: dict[tuple[str, str, int], KeyPath],
    key: tuple[str, str, int],
    path: KeyPath,
    locate: Locate,
    findings: Findings,
) -> None:
    """Find a port that is taken on all addresses and again on one."""
    family, address, port = key
    for (other_family, other, other_port), first in endpoints.items():
        same_port = (other_family, other_port) == (family, port)
        if same_port and other != address and _ANY_ADDRESS in {other, address}:
            findings.add(
                locate(path),
                f'port {port} is taken by {dotted(first)}',
                'give each its own port, or each an address of its own',
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
