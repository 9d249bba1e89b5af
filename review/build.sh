#!/bin/sh
# The scripts' stand-ins are Python programs of the standard library; nothing is compiled.
# Fails if the interpreter that they need is missing.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || {
    echo "review: python3 3.11 or later is needed" >&2
    exit 1
}
for file in standin/*.py */run.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
