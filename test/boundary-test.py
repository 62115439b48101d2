#!/usr/bin/env python3
"""Only `platform/` knows the platform's names: nothing but the daemon's main includes it, and
none of the names in it stands in the product.

usage: boundary-test.py BUILD_FOLDER
"""

import pathlib
import re
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
# HTTP's own, and names of figmill's that the platform happens to share.
SHARED = {"Content-Type", "Last-Event-Id", "Retry-After", "Request-Id"}
# The platform's, and of no use to the adapter: no business of the product either.
UNUSED = {"Prompt-Prefix"}
LITERAL = re.compile(r'"((?:[^"\\\n]|\\.)*)"')
# A path, a header or a member in camel case; plain words belong to nobody.
NAME = re.compile(r"/-/[\w/-]+|[A-Z][a-z]+(?:-[A-Z][a-z]+)+|[a-z]+(?:[A-Z][a-z]*)+")


def sources(*folders):
    for folder in folders:
        for path in sorted((ROOT / folder).rglob("*")):
            if path.suffix in (".cc", ".h"):
                yield path


def names_in(path):
    return {name for text in LITERAL.findall(path.read_text()) for name in NAME.findall(text)}


def main():
    platform = set().union(*(names_in(path) for path in sources("platform"))) - SHARED
    assert {"Expect-Instance", "pathPrefix", "/-/rows-tx"} <= platform, "the names were not found"
    platform |= UNUSED
    wrong = []
    for path in sources("src", "include"):
        text, place = path.read_text(), path.relative_to(ROOT)
        if '#include "platform/' in text and path.name != "main.cc":
            wrong.append(f"{place} includes platform/")
        wrong += [f"{place} knows the platform's '{name}'"
                  for name in sorted(names_in(path) & platform)]
    print("\n".join(wrong) or f"{len(platform)} names of the platform stand in platform/ alone")
    return 1 if wrong else 0


sys.exit(main())
