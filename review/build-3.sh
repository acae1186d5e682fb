#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. They are Python sources of this
# repository that need nothing but the interpreter; this compiles them once, so
# that an unusable interpreter shows before a case starts.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
python3 - <<'PYTHON'
import sys
from pathlib import Path

assert sys.version_info >= (3, 11), sys.version
for folder in ('review/rig3', 'review/11', 'review/12', 'review/13',
               'review/14', 'review/15', 'siskinbank/lab/rig',
               'siskinbank/platform'):
    for source in sorted(Path(folder).glob('*.py')):
        compile(source.read_bytes(), str(source), 'exec')
sys.path.insert(0, 'review/rig3')
sys.path.insert(0, '.')
import site3  # noqa: F401
PYTHON
