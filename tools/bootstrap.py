"""The start of the binary: import all from this file, and unpack nothing.

Python imports plain modules from an archive by itself. Extension modules must
be files for the system's loader; each is copied into an anonymous file in
memory and loaded through its place under /proc.
"""

import os
import sys
import zipfile
from collections.abc import Sequence
from importlib import machinery, util
from types import ModuleType

__all__ = ('ExtensionFinder',)

_EXTENSIONS = '_extensions/'


class ExtensionFinder:
    """Finds the extension modules of the archive."""

    def __init__(self, archive: str) -> None:
        """Read the archive's list of files."""
        self._archive = archive
        with zipfile.ZipFile(archive) as opened:
            names = [
                name.removeprefix(_EXTENSIONS)
                for name in opened.namelist()
                if name.startswith(_EXTENSIONS)
            ]
        self._modules = frozenset(names)

    def find_spec(
        self,
        fullname: str,
        _path: Sequence[str] | None = None,
        _target: ModuleType | None = None,
    ) -> machinery.ModuleSpec | None:
        """Return how to load an extension module, or None if not here."""
        if fullname not in self._modules:
            return None
        place = self._copy_to_memory(fullname)
        loader = machinery.ExtensionFileLoader(fullname, place)
        return util.spec_from_file_location(
            fullname,
            place,
            loader=loader,
        )

    def _copy_to_memory(self, fullname: str) -> str:
        """Return a path to the module's bytes.

        The descriptor stays open: the system's loader knows libraries by
        their path, so no other may get the same one.
        """
        with zipfile.ZipFile(self._archive) as opened:
            library = opened.read(f'{_EXTENSIONS}{fullname}')
        number = os.memfd_create(fullname, os.MFD_CLOEXEC)
        with os.fdopen(number, 'wb', closefd=False) as copied:
            copied.write(library)
        return f'/proc/self/fd/{number}'


def _start() -> None:
    sys.meta_path.insert(0, ExtensionFinder(sys.path[0]))
    from siskinbank.commands import main

    main()


if __name__ == '__main__':
    _start()
