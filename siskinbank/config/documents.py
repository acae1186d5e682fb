"""Read YAML documents and remember the line on which each value stands."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml

from siskinbank.kernel.findings import Findings, Place

__all__ = ('Document', 'KeyPath', 'dotted', 'read_document')

#: The keys that lead to a value.
KeyPath = tuple[str | int, ...]

_LOADER = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)


def dotted(path: KeyPath) -> str:
    """Return a path as operators read it, such as ``services.matcher``."""
    return '.'.join(str(step) for step in path)


@dataclass(slots=True)
class Document:
    """One file's content with the place of each value."""

    file: str
    content: dict[str, Any] = field(default_factory=dict)
    lines: dict[KeyPath, int] = field(default_factory=dict)

    def place(self, path: KeyPath) -> Place:
        """Return the place of a path, or of its nearest parent."""
        for length in range(len(path), -1, -1):
            if path[:length] in self.lines:
                return Place(self.file, self.lines[path[:length]], dotted(path))
        return Place(self.file, 1, dotted(path))


def read_document(file: str, findings: Findings) -> Document:
    """Read one YAML file; what is wrong with it becomes findings."""
    try:
        text = Path(file).read_text(encoding='utf-8')
    except (OSError, UnicodeError) as error:
        findings.add(
            Place(file),
            f'cannot be read ({getattr(error, "strerror", None) or error})',
            'name a readable UTF-8 file',
        )
        return Document(file)
    return parse_document(file, text, findings)


def parse_document(file: str, text: str, findings: Findings) -> Document:
    """Parse YAML text that stands for ``file``."""
    document = Document(file)
    try:
        root = yaml.compose(text, Loader=_LOADER)
    except (yaml.YAMLError, RecursionError) as error:
        mark = getattr(error, 'problem_mark', None)
        line = mark.line + 1 if mark else 1
        problem = getattr(error, 'problem', None) or str(error)
        findings.add(Place(file, line), f'not YAML ({problem})', 'mend it')
        return document
    if not isinstance(root, yaml.MappingNode):
        findings.add(Place(file), 'not a mapping', 'write `site:` and so on')
        return document
    document.content = _convert(root, (), document, findings)
    return document


def _convert(
    node: yaml.Node,
    path: KeyPath,
    document: Document,
    findings: Findings,
) -> Any:
    document.lines.setdefault(path, node.start_mark.line + 1)
    if isinstance(node, yaml.MappingNode):
        return _convert_mapping(node, path, document, findings)
    if isinstance(node, yaml.SequenceNode):
        return [
            _convert(child, (*path, index), document, findings)
            for index, child in enumerate(node.value)
        ]
    return _scalar(node, path, document, findings)


def _convert_mapping(
    node: yaml.MappingNode,
    path: KeyPath,
    document: Document,
    findings: Findings,
) -> dict[str, Any]:
    mapping: dict[str, Any] = {}
    for key_node, child in node.value:
        key = str(key_node.value)
        line = key_node.start_mark.line + 1
        here = (*path, key)
        if key in mapping:
            findings.add(
                Place(document.file, line, dotted(here)),
                f'key written again (first on line {document.lines[here]})',
                'keep one of the two',
            )
            continue
        document.lines[here] = line
        mapping[key] = _convert(child, here, document, findings)
    return mapping


def _scalar(
    node: yaml.Node,
    path: KeyPath,
    document: Document,
    findings: Findings,
) -> Any:
    try:
        return yaml.load(yaml.serialize(node), Loader=_LOADER)
    except (yaml.YAMLError, ValueError) as error:
        findings.add(document.place(path), f'bad value ({error})', 'mend it')
        return None
