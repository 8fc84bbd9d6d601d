#!/bin/sh
# Builds the stand-ins that the scripts in review/6 to review/10 start. They are Python without packages and run in the
# script's own process (review/platform2.py; the store and the runners are those of testsuite/platform_standins.py), so
# there is nothing to compile; this shows that Python can read them all. The programs under test come from the build
# command of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import glob
for path in ["review/platform2.py", "testsuite/platform_standins.py", "testsuite/harness.py", "testsuite/linkproxy.py",
             *glob.glob("review/[6-9]/case.py"), *glob.glob("review/10/case.py")]:
    with open(path) as file:
        compile(file.read(), path, "exec")
CHECK
