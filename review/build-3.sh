#!/bin/sh
# Checks the stand-ins of review 3. They need the standard library only.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import pathlib
for path in [pathlib.Path('review/standin3.py'), *pathlib.Path('review').glob('1[1-5]/*.py')]:
    compile(path.read_text(encoding='utf-8'), str(path), 'exec')
CHECK
