#!/bin/sh
# Builds the stand-ins that the scripts of review/11 and 12 start.  They are
# Python of the standard library, in review/ only: that they compile, and that
# the build of the deploy file is there, is all that there is to do.
set -e
cd "$(dirname "$0")/.."
python3 -c '
import pathlib
for path in sorted(pathlib.Path("review").glob("*/*.py")):
    if path.parts[1] in ("common", "common-3", "11", "12"):
        compile(path.read_text(encoding="utf-8"), str(path), "exec")
        print("compiled", path)
'
test -d target/deps/foxtailrelay_platform || {
    echo 'the build of the deploy file is missing' >&2
    exit 1
}
