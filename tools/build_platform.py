"""Compile the processes for the users' platform into a folder.

Only the byte code of the packages that these processes import is written;
``main.pyc`` starts them.
"""

import shutil
import sys
from pathlib import Path
from py_compile import PycInvalidationMode
from py_compile import compile as compile_module

_ROOT = Path(__file__).resolve().parent.parent
_PACKAGES = (
    'platform',
    'relay',
    'tracking',
    'choice',
    'admission',
    'entry',
    'sidecar',
)


def build(target: Path) -> int:
    """Write the byte code of all modules and return their number."""
    package = _ROOT / 'siskinbank'
    sources = [package / '__init__.py']
    for name in _PACKAGES:
        sources.extend(sorted((package / name).glob('*.py')))
    shutil.rmtree(target / 'siskinbank', ignore_errors=True)
    for source in sources:
        _compile(source, target / source.relative_to(_ROOT).with_suffix('.pyc'))
    _compile(package / 'relay' / 'main.py', target / 'main.pyc')
    return len(sources)


def _compile(source: Path, compiled: Path) -> None:
    compiled.parent.mkdir(parents=True, exist_ok=True)
    compile_module(
        str(source),
        cfile=str(compiled),
        dfile=str(source.relative_to(_ROOT)),
        doraise=True,
        optimize=2,
        invalidation_mode=PycInvalidationMode.UNCHECKED_HASH,
    )


if __name__ == '__main__':
    build(Path(sys.argv[1]))
