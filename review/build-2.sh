#!/bin/bash
# Compiles the stand-ins and the cases of this review. They use the standard
# library of Python only; the programs under test come from the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'P'
import py_compile
import sys
from pathlib import Path

folders = ['review/rig2', *(f'review/{number}' for number in range(6, 11))]
for folder in folders:
    for source in sorted(Path(folder).glob('*.py')):
        target = Path('target/review-2') / folder / (source.name + 'c')
        target.parent.mkdir(parents=True, exist_ok=True)
        py_compile.compile(str(source), cfile=str(target), doraise=True)
        print(f'compiled {source}', file=sys.stderr)
P
