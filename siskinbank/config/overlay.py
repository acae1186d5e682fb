"""Lay overlays over a base file."""

from collections.abc import Callable, Sequence
from typing import Any

from siskinbank.config.check import check_content
from siskinbank.config.documents import Document, KeyPath, read_document
from siskinbank.config.models import DocumentModel
from siskinbank.ingress.registry import ingresses
from siskinbank.kernel.findings import Findings, Place

__all__ = ('load_files', 'merge', 'served')


def load_files(
    base: str,
    overlays: Sequence[str],
    findings: Findings,
) -> DocumentModel | None:
    """Read, merge and check a base file and its overlays.

    Returns:
        The effective document, or None when findings were added.
    """
    before = len(findings)
    documents = [read_document(file, findings) for file in (base, *overlays)]
    if any(not document.content for document in documents):
        return None
    content = merge(documents, findings)

    def locate(path: KeyPath) -> Place:
        return _locate(documents, path)

    model = check_content(content, locate, findings)
    if model is not None:
        _check_kinds(model, locate, findings)
    return model if len(findings) == before else None


def served(model: DocumentModel) -> DocumentModel:
    """Return the document without the services that have no hosts here."""
    services = {
        name: service
        for name, service in model.services.items()
        if service.hosts
    }
    return model.model_copy(update={'services': services})


def _check_kinds(
    model: DocumentModel,
    locate: Callable[[KeyPath], Place],
    findings: Findings,
) -> None:
    known = ingresses.module_names()
    for name, service in model.services.items():
        for kind in service.ingress.keys() - known:
            findings.add(
                locate(('services', name, 'ingress', kind)),
                f'no ingress named {kind!r}',
                'one of {0}'.format(', '.join(sorted(known))),
            )


def merge(documents: Sequence[Document], findings: Findings) -> dict[str, Any]:
    """Return the effective content; a later document goes first.

    A key that a later document gives as null is removed.
    """
    content: dict[str, Any] = documents[0].content
    for overlay in documents[1:]:
        content = _merge_one(content, overlay.content, (), overlay, findings)
    return content


def _merge_one(
    base: dict[str, Any],
    over: dict[str, Any],
    path: KeyPath,
    overlay: Document,
    findings: Findings,
) -> dict[str, Any]:
    merged = dict(base)
    for key, given in over.items():
        here = (*path, key)
        known = base.get(key)
        if given is None:
            _remove(merged, key, overlay.place(here), findings)
            continue
        if isinstance(known, dict) and isinstance(given, dict):
            merged[key] = _merge_one(known, given, here, overlay, findings)
            continue
        if known == given:
            wrong = 'says what an earlier file says already'
            findings.add(overlay.place(here), wrong, 'remove it here')
        merged[key] = given
    return merged


def _remove(
    merged: dict[str, Any],
    key: str,
    place: Place,
    findings: Findings,
) -> None:
    if key not in merged:
        wrong = 'removes what no earlier file says'
        findings.add(place, wrong, 'remove the line, or give it a value')
    merged.pop(key, None)


def _locate(documents: Sequence[Document], path: KeyPath) -> Place:
    """Return the place in the document that says most about the path."""
    for length in range(len(path), -1, -1):
        for document in reversed(documents):
            if path[:length] in document.lines:
                return document.place(path)
    return documents[-1].place(path)
