"""Entry point of the binary, which imports its modules without unpacking.

Python imports pure Python modules directly from an archive. The dynamic loader
needs extension modules as files, so each is copied to an anonymous file in
memory and loaded by its path below /proc.
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
    """Meta path finder for the extension modules of the archive."""

    def __init__(self, archive: str) -> None:
        """Initialize the finder with the list of files of the archive."""
        self._archive = archive
        with zipfile.ZipFile(archive) as archive_file:
            names = [
                name.removeprefix(_EXTENSIONS)
                for name in archive_file.namelist()
                if name.startswith(_EXTENSIONS)
            ]
        self._modules = frozenset(names)

    def find_spec(
        self,
        fullname: str,
        _path: Sequence[str] | None = None,
        _target: ModuleType | None = None,
    ) -> machinery.ModuleSpec | None:
        """Return the spec of an extension module, or None if not found."""
        if fullname not in self._modules:
            return None
        path = self._copy_to_memory(fullname)
        loader = machinery.ExtensionFileLoader(fullname, path)
        return util.spec_from_file_location(
            fullname,
            path,
            loader=loader,
        )

    def _copy_to_memory(self, fullname: str) -> str:
        """Copy a module to memory and return the path of the copy.

        The descriptor stays open: the dynamic loader identifies libraries by
        path, so no other module may reuse it.
        """
        with zipfile.ZipFile(self._archive) as archive_file:
            library = archive_file.read(f'{_EXTENSIONS}{fullname}')
        descriptor = os.memfd_create(fullname, os.MFD_CLOEXEC)
        with os.fdopen(descriptor, 'wb', closefd=False) as memory_file:
            memory_file.write(library)
        return f'/proc/self/fd/{descriptor}'


def _start() -> None:
    sys.meta_path.insert(0, ExtensionFinder(sys.path[0]))
    from siskinbank.commands import main

    main()


if __name__ == '__main__':
    _start()
