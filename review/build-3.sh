#!/bin/sh
# Checks the stand-ins of the third review (folders 11 to 15), which are Python without packages and need no build: the files
# of this folder, and testsuite/platform_standins.py with what it imports. Gateways and journals come from the build of the
# deploy file.
set -e
cd "$(dirname "$0")/.."
python3 -B - <<'END'
import ast, glob, sys
for path in ["review/platform3.py", *glob.glob("review/1[1-5]/case.py")]:
    ast.parse(open(path).read(), path)
sys.path.insert(0, "review")
import platform3
END
