#!/bin/sh
# The stand-ins of the cases are Python with its standard library: there is nothing to compile. This checks that they can run.
cd "$(dirname "$0")" || exit 1
python3 - common/standins.py [0-9]/case.py <<'CHECK'
import ast
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
import tomllib

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
print("stand-ins: ready")
CHECK
