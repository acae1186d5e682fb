"""Merge overlays into a base file."""

from collections.abc import Callable, Sequence
from typing import Any

from siskinbank.config.check import check_content
from siskinbank.config.consistency import add_unknown_names, add_warnings
from siskinbank.config.documents import Document, KeyPath, read_document
from siskinbank.config.models import DocumentModel
from siskinbank.ingress.registry import ingresses
from siskinbank.kernel.findings import Findings, Place

__all__ = ('load_files', 'merge', 'remove_unserved')


def load_files(
    base: str,
    overlays: Sequence[str],
    findings: Findings,
    warnings: Findings | None = None,
) -> DocumentModel | None:
    """Read, merge and validate a base file and its overlays.

    Args:
        base: the name of the base file.
        overlays: the names of the overlays.
        findings: collects the problems.
        warnings: collects entries that have no effect or contradict others,
            unless it is None.

    Returns:
        The effective document, or None when findings were added.
    """
    count_before = len(findings)
    documents = [read_document(file, findings) for file in (base, *overlays)]
    if any(not document.content for document in documents):
        return None
    add_unknown_names(documents, findings)
    content = merge(documents, findings)

    def locate(path: KeyPath) -> Place:
        return _find_place(documents, path)

    model = check_content(content, locate, findings)
    if model is not None:
        _check_ingresses(model, locate, findings)
        if warnings is not None:
            add_warnings(model, documents, locate, warnings)
    return model if len(findings) == count_before else None


def remove_unserved(model: DocumentModel) -> DocumentModel:
    """Return the document without the services that have no hosts."""
    services = {
        name: service
        for name, service in model.services.items()
        if service.hosts
    }
    return model.model_copy(update={'services': services})


def _check_ingresses(
    model: DocumentModel,
    locate: Callable[[KeyPath], Place],
    findings: Findings,
) -> None:
    known = ingresses.module_names()
    for name, service in model.services.items():
        for ingress in service.ingress.keys() - known:
            findings.add(
                locate(('services', name, 'ingress', ingress)),
                f'no ingress named {ingress!r}',
                'one of {0}'.format(', '.join(sorted(known))),
            )


def merge(documents: Sequence[Document], findings: Findings) -> dict[str, Any]:
    """Return the effective content; later documents take precedence.

    A key with the value null in a later document is removed.
    """
    content: dict[str, Any] = documents[0].content
    for overlay in documents[1:]:
        content = _merge_mappings(
            content, overlay.content, (), overlay, findings
        )
    return content


def _merge_mappings(
    base: dict[str, Any],
    overrides: dict[str, Any],
    path: KeyPath,
    overlay: Document,
    findings: Findings,
) -> dict[str, Any]:
    merged = dict(base)
    for key, override in overrides.items():
        key_path = (*path, key)
        base_value = base.get(key)
        if override is None:
            _remove_key(merged, key, overlay.place(key_path), findings)
            continue
        if isinstance(base_value, dict) and isinstance(override, dict):
            merged[key] = _merge_mappings(
                base_value, override, key_path, overlay, findings
            )
            continue
        if base_value == override:
            problem = 'same value as in an earlier file'
            findings.add(overlay.place(key_path), problem, 'remove it here')
        merged[key] = override
    return merged


def _remove_key(
    merged: dict[str, Any],
    key: str,
    place: Place,
    findings: Findings,
) -> None:
    if key not in merged:
        problem = 'removes a key that no earlier file has'
        findings.add(place, problem, 'remove the line or set a value')
    merged.pop(key, None)


def _find_place(documents: Sequence[Document], path: KeyPath) -> Place:
    """Return the place in the document with the longest matching path.

    Later documents take precedence.
    """
    for length in range(len(path), -1, -1):
        for document in reversed(documents):
            if path[:length] in document.lines:
                return document.place(path)
    return documents[-1].place(path)
