"""Lay overlays over a base file."""

from collections.abc import Sequence
from typing import Any

from siskinbank.config.check import check_content
from siskinbank.config.documents import Document, KeyPath, read_document
from siskinbank.config.models import DocumentModel
from siskinbank.kernel.findings import Findings, Place

__all__ = ('load_files', 'merge')


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
    return model if len(findings) == before else None


def merge(documents: Sequence[Document], findings: Findings) -> dict[str, Any]:
    """Return the effective content; a later document goes first."""
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
        if isinstance(known, dict) and isinstance(given, dict):
            merged[key] = _merge_one(known, given, here, overlay, findings)
            continue
        if key in base and known == given:
            findings.add(
                overlay.place(here),
                'says what the base file says already',
                'remove it here',
            )
        merged[key] = given
    return merged


def _locate(documents: Sequence[Document], path: KeyPath) -> Place:
    """Return the place in the document that says most about the path."""
    for length in range(len(path), -1, -1):
        for document in reversed(documents):
            if path[:length] in document.lines:
                return document.place(path)
    return documents[-1].place(path)
