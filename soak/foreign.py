"""Entries of other writers in the list of backend servers. None of them names an engine to use."""

import json

DEPTH = 50_000  # lists in lists, more than a parser's stack may hold
LONG = 200_000  # characters


def good_entry(port):
    """As an engine writes it."""
    return {"service": "llm", "address": f"127.0.0.1:{port}", "zone": "north-a", "version": "v1",
            "slots": 4, "coldLeftMs": 0, "state": "ready", "sequence": 1 << 40, "born": 1}


def without(field):
    return lambda good: json.dumps({k: v for k, v in good.items() if k != field}).encode()


def with_value(field, value):
    return lambda good: json.dumps(good | {field: value}).encode()


MAKERS = {
    "empty": lambda good: b"",
    "no text": lambda good: b"\xff\xfe\x00{}",
    "no text in a field": lambda good: json.dumps(good).encode().replace(b"llm", b"l\xffm"),
    "cut off": lambda good: json.dumps(good).encode()[:40],
    "null": lambda good: b"null",
    "a list": lambda good: b"[1, 2]",
    "deep": lambda good: b"[" * DEPTH,
    "no service": without("service"),
    "no address": without("address"),
    "no state": without("state"),
    "service is a number": with_value("service", 7),
    "address is a list": with_value("address", ["127.0.0.1:1"]),
    "state is null": with_value("state", None),
    "slots is a text": with_value("slots", "4"),
    "slots is negative": with_value("slots", -4),
    "slots is a fraction": with_value("slots", 0.5),
    "slots is huge": with_value("slots", 1e300),
    "unknown state": with_value("state", "resting"),
    "unknown service": with_value("service", "nobody"),
    "long service": with_value("service", "x" * LONG),
    "address without a port": with_value("address", "127.0.0.1"),
    "address is none": with_value("address", "127.0.0.1:99999"),
}
VARIANTS = tuple(MAKERS)


def bad_entry(variant, port):
    return MAKERS[variant](good_entry(port))
