"""Build one file that runs everywhere the same Python is installed.

    python tools/build_binary.py dist/siskinbank

The same source, Python and lock give the same bytes: files are sorted, carry
one date, and are compiled without anything that depends on the machine.
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

__all__ = ('build', 'closure')

_ROOT = Path(__file__).resolve().parent.parent
_DATE = (1980, 1, 1, 0, 0, 0)
_SHEBANG = '#!/usr/bin/env python{0}.{1}\n'.format(*sys.version_info[:2])
_MODE = stat.S_IFREG | 0o644
_EXECUTABLE = 0o755
_SUFFIX = re.compile(r'\.(cpython-[\w-]+|abi3)\.so$')
_NAME = re.compile('^[A-Za-z0-9._-]+')
#: `importlib.metadata` needs these to answer which version is installed.
_METADATA = frozenset(('METADATA', 'entry_points.txt', 'top_level.txt'))
#: Parts of the dependencies that the programs never import.
_LEFT_OUT = frozenset(('tests', 'test', '__pycache__', '_testcapi'))
#: A marshal version without references, whose bytes depend on the code only.
_MARSHAL_VERSION = 2
#: Hash-based pycs that are never checked (PEP 552).
_UNCHECKED = b'\1\0\0\0'


def closure(name: str, known: set[str] | None = None) -> set[str]:
    """Return a distribution's name and those that it requires, all the way."""
    known = set() if known is None else known
    plain = name.lower().replace('_', '-')
    if plain in known:
        return known
    known.add(plain)
    for line in metadata.requires(name) or ():
        requirement, _semicolon, marker = line.partition(';')
        if _applies(marker):
            match = _NAME.match(requirement.strip())
            assert match is not None
            closure(match.group(), known)
    return known


def _applies(marker: str) -> bool:
    """Whether a requirement is needed; extras and absent ones are not."""
    if not marker.strip():
        return True
    from packaging.markers import Marker

    return bool(Marker(marker.strip()).evaluate({'extra': ''}))


def _files() -> Iterator[tuple[str, bytes]]:
    for path in sorted((_ROOT / 'siskinbank').rglob('*.py')):
        yield str(path.relative_to(_ROOT)), path.read_bytes()
    for name in sorted(closure('siskinbank') - {'siskinbank'}):
        distribution = metadata.distribution(name)
        for file in sorted(distribution.files or (), key=str):
            if _is_wanted(file):
                yield str(file), Path(str(file.locate())).read_bytes()


def _is_wanted(file: metadata.PackagePath) -> bool:
    parts = set(file.parts) | {file.name.partition('.')[0]}
    if '..' in parts or parts & _LEFT_OUT:
        return False
    if file.parts[0].endswith('.dist-info'):
        return file.name in _METADATA
    return file.suffix in {'.py', '.so'}


def _member(name: str, content: bytes) -> tuple[str, bytes]:
    """Return the name and bytes under which a file is archived."""
    if name.endswith('.so'):
        module = _SUFFIX.sub('', name).replace('/', '.')
        return f'_extensions/{module}', content
    if not name.endswith('.py'):
        return name, content
    code = _Compiler('', '').source_to_code(content, name)
    digest = util.source_hash(content)
    head = util.MAGIC_NUMBER + _UNCHECKED + digest
    return f'{name}c', head + marshal.dumps(code, _MARSHAL_VERSION)


def build() -> bytes:
    """Return the binary's bytes."""
    held = io.BytesIO()
    held.write(_SHEBANG.encode())
    bootstrap = (_ROOT / 'tools' / 'bootstrap.py').read_bytes()
    files = {'__main__.py': bootstrap, **dict(_files())}
    with zipfile.ZipFile(held, 'a', zipfile.ZIP_DEFLATED) as archive:
        for name, content in sorted(files.items()):
            member, packed = _member(name, content)
            info = zipfile.ZipInfo(member, _DATE)
            info.compress_type = zipfile.ZIP_DEFLATED
            info.external_attr = _MODE << 16
            archive.writestr(info, packed)
    return held.getvalue()


def main() -> None:
    """Write the binary to the path that is given."""
    target = Path(sys.argv[1])
    target.parent.mkdir(parents=True, exist_ok=True)
    target.write_bytes(build())
    target.chmod(_EXECUTABLE)


if __name__ == '__main__':
    main()
