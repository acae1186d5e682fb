"""Read YAML documents with the line number of each value."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml

from siskinbank.kernel.findings import Findings, Place

__all__ = ('Document', 'KeyPath', 'dotted', 'read_document')

#: The keys from the root of a document to a value.
KeyPath = tuple[str | int, ...]

_LOADER = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)


def dotted(path: KeyPath) -> str:
    """Return a path in dotted notation, such as ``services.matcher``."""
    return '.'.join(str(step) for step in path)


@dataclass(slots=True)
class Document:
    """The content of a file, with the line of each value."""

    file: str
    content: dict[str, Any] = field(default_factory=dict)
    lines: dict[KeyPath, int] = field(default_factory=dict)

    def place(self, path: KeyPath) -> Place:
        """Return the place of a path, or of its nearest ancestor."""
        for length in range(len(path), -1, -1):
            if path[:length] in self.lines:
                return Place(self.file, self.lines[path[:length]], dotted(path))
        return Place(self.file, 1, dotted(path))


def read_document(file: str, findings: Findings) -> Document:
    """Read a YAML file; problems are added to the findings."""
    try:
        text = Path(file).read_text(encoding='utf-8')
    except (OSError, UnicodeError) as error:
        findings.add(
            Place(file),
            f'cannot be read ({getattr(error, "strerror", None) or error})',
            'specify a readable UTF-8 file',
        )
        return Document(file)
    return parse_document(file, text, findings)


def parse_document(file: str, text: str, findings: Findings) -> Document:
    """Parse YAML text; findings refer to it as ``file``."""
    document = Document(file)
    try:
        root = yaml.compose(text, Loader=_LOADER)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        mark = getattr(error, 'problem_mark', None)
        line = mark.line + 1 if mark else 1
        problem = getattr(error, 'problem', None) or type(error).__name__
        findings.add(
            Place(file, line), f'invalid YAML ({problem})', 'correct the syntax'
        )
        return document
    if isinstance(root, yaml.MappingNode):
        converter = _NodeConverter(document, findings)
        try:
            document.content = converter.mapping(root, ())
        except RecursionError:
            findings.add(
                Place(file), 'nested too deeply', 'remove nested values'
            )
    else:
        findings.add(Place(file), 'not a mapping', 'write keys such as `site:`')
    return document


class _NodeConverter:
    """Converts nodes to values and records their lines."""

    def __init__(self, document: Document, findings: Findings) -> None:
        self._document = document
        self._findings = findings
        self._scalars = yaml.SafeLoader('')
        self._seen_nodes: set[int] = set()

    def mapping(self, node: yaml.MappingNode, path: KeyPath) -> dict[str, Any]:
        """Return a mapping; a duplicate key is a finding."""
        mapping: dict[str, Any] = {}
        for key_node, child in node.value:
            line = key_node.start_mark.line + 1
            if not isinstance(key_node, yaml.ScalarNode):
                self._add(
                    line, path, 'key is not a scalar', 'write a plain word'
                )
                continue
            key = str(key_node.value)
            key_path = (*path, key)
            if key in mapping:
                first = self._document.lines[key_path]
                problem = f'duplicate key (first on line {first})'
                self._add(line, key_path, problem, 'remove one of the two')
                continue
            self._document.lines[key_path] = line
            mapping[key] = self._value(child, key_path)
        return mapping

    def _value(self, node: yaml.Node, path: KeyPath) -> Any:
        line = node.start_mark.line + 1
        self._document.lines.setdefault(path, line)
        if id(node) in self._seen_nodes:
            problem = 'aliases are not supported'
            self._add(line, path, problem, 'write out the value')
            return None
        self._seen_nodes.add(id(node))
        if isinstance(node, yaml.MappingNode):
            return self.mapping(node, path)
        if isinstance(node, yaml.SequenceNode):
            return [
                self._value(child, (*path, index))
                for index, child in enumerate(node.value)
            ]
        return self._scalar(node, path, line)

    def _scalar(self, node: yaml.Node, path: KeyPath, line: int) -> Any:
        try:
            return self._scalars.construct_object(node, deep=True)
        except (yaml.YAMLError, ValueError) as error:
            problem = getattr(error, 'problem', None) or str(error)
            self._add(line, path, f'invalid value ({problem})', 'correct it')
            return None

    def _add(
        self, line: int, path: KeyPath, problem: str, correction: str
    ) -> None:
        place = Place(self._document.file, line, dotted(path))
        self._findings.add(place, problem, correction)
