"""Read an earlier version of a configuration, rendered or published."""

from typing import Any

from siskinbank.config.check import check_content
from siskinbank.config.documents import Document, read_document
from siskinbank.config.models import DocumentModel
from siskinbank.config.sections import combine_sections
from siskinbank.kernel.findings import Findings
from siskinbank.util import parse_json

__all__ = ('load_version',)

_PUBLISHED_KEYS = frozenset(('manifest', 'sections'))


def load_version(file: str, findings: Findings) -> DocumentModel | None:
    """Return the effective document of an earlier version.

    Args:
        file: the output of ``siskinbank render``, with ``--publish`` or
            without.
        findings: collects the problems.

    Returns:
        The document, or None when findings were added.
    """
    document = read_document(file, findings)
    if not document.content:
        return None
    content = document.content
    if content.keys() == _PUBLISHED_KEYS:
        content = _combine(document, findings)
    return check_content(content, document.place, findings) if content else None


def _combine(document: Document, findings: Findings) -> dict[str, Any]:
    """Return the effective content of a publication, empty with findings."""
    sections = document.content['sections']
    if not isinstance(sections, dict):
        return _add_problem(document, 'not a mapping', findings)
    try:
        return combine_sections(
            {
                name: parse_json(str(raw).encode())
                for name, raw in sections.items()
            }
        )
    except (KeyError, TypeError, ValueError) as error:
        return _add_problem(document, str(error), findings)


def _add_problem(
    document: Document,
    problem: str,
    findings: Findings,
) -> dict[str, Any]:
    findings.add(
        document.place(('sections',)),
        f'not the sections of a publication ({problem})',
        'specify the output of `siskinbank render --publish`',
    )
    return {}
