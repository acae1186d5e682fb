"""Build a single executable file for machines with the same Python version.

    python tools/build_binary.py dist/siskinbank

The build is reproducible: the same source, Python and lock file give the same
bytes. Files are sorted, have a fixed date, and are compiled without anything
that depends on the machine.
"""

import io
import marshal
import re
import stat
import sys
import zipfile
from collections.abc import Iterator
from importlib import metadata, util
from importlib.machinery import SourceFileLoader as _Compiler
from pathlib import Path

__all__ = ('build', 'required_distributions')

_ROOT = Path(__file__).resolve().parent.parent
_MEMBER_DATE = (1980, 1, 1, 0, 0, 0)
_SHEBANG = '#!/usr/bin/env python{0}.{1}\n'.format(*sys.version_info[:2])
_FILE_MODE = 0o644
_MEMBER_MODE = stat.S_IFREG | _FILE_MODE
#: The upper half of `external_attr` holds the mode.
_MODE_SHIFT = 16
_EXECUTABLE_MODE = 0o755
_EXTENSION_SUFFIX = re.compile(r'\.(cpython-[\w-]+|abi3)\.so$')
_NAME_PATTERN = re.compile('^[A-Za-z0-9._-]+')
#: Files that `importlib.metadata` needs to return the installed version.
_METADATA_FILES = frozenset(('METADATA', 'entry_points.txt', 'top_level.txt'))
#: Parts of the dependencies that are never imported.
_EXCLUDED_PARTS = frozenset(('tests', 'test', '__pycache__', '_testcapi'))
#: A marshal version without references; its output depends on the code only.
_MARSHAL_VERSION = 2
#: Flags of hash-based, unchecked pyc files (PEP 552).
_UNCHECKED_PYC_FLAGS = b'\1\0\0\0'


def required_distributions(
    name: str, known: set[str] | None = None
) -> set[str]:
    """Return the names of a distribution and its transitive requirements."""
    known = set() if known is None else known
    normalized = name.lower().replace('_', '-')
    if normalized in known:
        return known
    known.add(normalized)
    for line in metadata.requires(name) or ():
        requirement, _semicolon, marker = line.partition(';')
        if _applies(marker):
            match = _NAME_PATTERN.match(requirement.strip())
            assert match is not None
            required_distributions(match.group(), known)
    return known


def _applies(marker: str) -> bool:
    """Return whether a marker is true here, without any extras."""
    if not marker.strip():
        return True
    from packaging.markers import Marker

    return bool(Marker(marker.strip()).evaluate({'extra': ''}))


def _files() -> Iterator[tuple[str, bytes]]:
    for path in sorted((_ROOT / 'siskinbank').rglob('*.py')):
        yield str(path.relative_to(_ROOT)), path.read_bytes()
    for name in sorted(required_distributions('siskinbank') - {'siskinbank'}):
        distribution = metadata.distribution(name)
        for file in sorted(distribution.files or (), key=str):
            if _is_included(file):
                yield str(file), Path(str(file.locate())).read_bytes()


def _is_included(file: metadata.PackagePath) -> bool:
    parts = set(file.parts) | {file.name.partition('.')[0]}
    if '..' in parts or parts & _EXCLUDED_PARTS:
        return False
    if file.parts[0].endswith('.dist-info'):
        return file.name in _METADATA_FILES
    return file.suffix in {'.py', '.so'}


def _member(name: str, content: bytes) -> tuple[str, bytes]:
    """Return the name and content of a file in the archive."""
    if name.endswith('.so'):
        module = _EXTENSION_SUFFIX.sub('', name).replace('/', '.')
        return f'_extensions/{module}', content
    if not name.endswith('.py'):
        return name, content
    code = _Compiler('', '').source_to_code(content, name)
    digest = util.source_hash(content)
    header = util.MAGIC_NUMBER + _UNCHECKED_PYC_FLAGS + digest
    return f'{name}c', header + marshal.dumps(code, _MARSHAL_VERSION)


def build() -> bytes:
    """Return the content of the binary."""
    output = io.BytesIO()
    output.write(_SHEBANG.encode())
    bootstrap = (_ROOT / 'tools' / 'bootstrap.py').read_bytes()
    files = {'__main__.py': bootstrap, **dict(_files())}
    with zipfile.ZipFile(output, 'a', zipfile.ZIP_DEFLATED) as archive:
        for name, content in sorted(files.items()):
            member, packed = _member(name, content)
            info = zipfile.ZipInfo(member, _MEMBER_DATE)
            info.compress_type = zipfile.ZIP_DEFLATED
            info.external_attr = _MEMBER_MODE << _MODE_SHIFT
            archive.writestr(info, packed)
    return output.getvalue()


def main() -> None:
    """Write the binary to the path in the first argument."""
    target = Path(sys.argv[1])
    target.parent.mkdir(parents=True, exist_ok=True)
    target.write_bytes(build())
    target.chmod(_EXECUTABLE_MODE)


if __name__ == '__main__':
    main()
