#!/usr/bin/env bash
# Builds the stand-ins of the scripts: they are Python 3.11 or newer, standard library only, so that
# it suffices to check that they compile. The scripts start no other program than `ggb-node`.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or newer")
for path in sorted(pathlib.Path(".").glob("**/*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print(f"review/{path}: compiles")
PYTHON
