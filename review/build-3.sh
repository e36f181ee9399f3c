#!/bin/sh
# The stand-ins of cases 11 to 15 are programs for Python 3 without further packages: checks that each one compiles.
cd "$(dirname "$0")/standins-3" || exit 1
for file in *.py; do
    python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file" || exit 1
done
