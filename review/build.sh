#!/usr/bin/env bash
# Prepares the stand-ins of the scripts. They are Python without packages and need no build; this checks that they load.
cd "$(dirname "$0")" && exec python3 -B -c "import standins"
