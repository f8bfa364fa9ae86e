#!/usr/bin/env bash
# Builds the stand-ins of the scripts.  They use only Python's standard
# library, so it is enough to compile them once, outside the repository.
set -euo pipefail
cd "$(dirname "$0")"
for file in common/*.py */case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
