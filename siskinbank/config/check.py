"""Validate documents: each value first, then rules across values."""

from collections.abc import Callable, Mapping
from typing import Any

from pydantic import ValidationError
from pydantic_core import ErrorDetails

from siskinbank.config.documents import KeyPath, dotted
from siskinbank.config.models import DocumentModel, ServiceModel
from siskinbank.kernel.findings import Findings, Place

__all__ = ('Locate', 'add_validation_errors', 'check_content')

#: Returns the place in the source files of a path in the effective document.
Locate = Callable[[KeyPath], Place]

_MAX_VALUE_CHARACTERS = 60
_WILDCARD_ADDRESS = '0.0.0.0'
_MESSAGES = {
    'extra_forbidden': ('unknown key', 'remove or rename it'),
    'missing': ('missing', 'add it here or in the base file'),
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
        add_validation_errors(error, locate, findings, _MESSAGES)
        return None
    count_before = len(findings)
    _check_document(model, locate, findings)
    return model if len(findings) == count_before else None


def add_validation_errors(
    error: ValidationError,
    locate: Locate,
    findings: Findings,
    messages: Mapping[str, tuple[str, str]],
) -> None:
    """Add a finding for each error of a model.

    Args:
        error: the errors.
        locate: returns the place of a path in the document.
        findings: collects the findings.
        messages: problem and correction by type of error; those of other types
            are taken from the error.
    """
    for details in error.errors(include_url=False):
        path = tuple(step for step in details['loc'] if step != '[key]')
        problem, correction = messages.get(
            details['type'], _describe_error(details)
        )
        findings.add(locate(path), problem, correction)


def _describe_error(details: ErrorDetails) -> tuple[str, str]:
    value = _format_value(details['input'])
    if len(value) > _MAX_VALUE_CHARACTERS:
        value = f'{value[:_MAX_VALUE_CHARACTERS]}...'
    message = details['msg'].removeprefix('Value error, ')
    correction = message.replace('Input should', 'it should')
    return f'{value} is not allowed', correction


def _format_value(value: Any) -> str:
    try:
        return repr(value)
    except RecursionError:
        return f'a deeply nested {type(value).__name__}'


def _check_document(
    model: DocumentModel,
    locate: Locate,
    findings: Findings,
) -> None:
    endpoints: dict[tuple[str, str, int], KeyPath] = {}
    addresses: dict[tuple[str, int], KeyPath] = {}
    names: dict[str, KeyPath] = {}
    for name, service in model.services.items():
        path: KeyPath = ('services', name)
        _check_cold_limits(service, path, locate, findings)
        for ingress, endpoint in service.ingress.items():
            endpoint_path: KeyPath = (*path, 'ingress', ingress)
            key = (_socket_family(ingress), endpoint.address, endpoint.port)
            _check_unique(endpoints, key, endpoint_path, locate, findings)
            _check_wildcard_address(
                endpoints, key, endpoint_path, locate, findings
            )
        for host_name, host in service.hosts.items():
            host_path: KeyPath = (*path, 'hosts', host_name)
            _check_unique(names, host_name, host_path, locate, findings)
            _check_unique(
                addresses,
                (host.address, host.port),
                host_path,
                locate,
                findings,
            )
            _check_data_centre(
                model, host.data_centre, host_path, locate, findings
            )


def _check_data_centre(
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


def _socket_family(ingress: str) -> str:
    """Return the family of an ingress; a port conflicts only within a family.

    The packet services of ``fou`` share one UDP socket, the services of all
    other ingresses have listening sockets of their own.
    """
    return 'sprayed' if ingress == 'fou' else 'listening'


def _check_unique(
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
        f'{_format_key(key)} is already used by {dotted(first)}',
        'use a unique value',
    )


def _format_key(key: Any) -> str:
    if isinstance(key, tuple):
        return ':'.join(str(part) for part in key[-2:])
    return repr(key)


def _check_wildcard_address(
    endpoints: dict[tuple[str, str, int], KeyPath],
    key: tuple[str, str, int],
    path: KeyPath,
    locate: Locate,
    findings: Findings,
) -> None:
    """Add a finding for a port used on all addresses and again on one."""
    family, address, port = key
    for (other_family, other, other_port), first in endpoints.items():
        same_port = (other_family, other_port) == (family, port)
        if (
            same_port
            and other != address
            and _WILDCARD_ADDRESS in {other, address}
        ):
            findings.add(
                locate(path),
                f'port {port} is already used by {dotted(first)}',
                'use different ports, or a specific address for each',
            )


def _check_cold_limits(
    service: ServiceModel,
    path: KeyPath,
    locate: Locate,
    findings: Findings,
) -> None:
    for limit_name in ('connections', 'slots'):
        cold = getattr(service.cold, limit_name)
        full = getattr(service, limit_name)
        if cold > full:
            findings.add(
                locate((*path, 'cold', limit_name)),
                f'cold limit {cold} is above the full limit {full}',
                f'at most {full}',
            )
