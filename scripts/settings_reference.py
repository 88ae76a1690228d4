#!/usr/bin/env python3
"""Generates docs/SETTINGS.md from the JSON schemas that validate settings and declarations.

With --check, writes nothing and fails if the page is stale.
"""
import json
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
TARGET = ROOT / "docs" / "SETTINGS.md"

PLATFORM = """\
## On the users' platform

The settings of `workshatch-platform`, with the members of `policy`, are listed in
[OPERATIONS.md](OPERATIONS.md). Members of the platform's configuration by which requests are scheduled:

| member | type | default | range | meaning |
|---|---|---|---|---|
| `routes[].goalMs` | number | 0 | 0 to 4294967295 | objective: time until the first event of a stream, or until a whole response, milliseconds; 0: none |
| `routes[].gapTargetMs` | number | 0 | 0 to 4294967295 | pause objective: longest pause between two events of a stream, milliseconds; 0: none; ignored on routes that are not streaming |
| `services[].engine.stride` | number | 0 | 0 to 4294967295 | output tokens per event; 0: unknown, so that no output averages are learned |
| `services[].engine.kvCapacity` | number | 0 | 0 to 2^64 - 1 | capacity of one engine's KV cache, tokens; 0: unknown |

A value of another type or out of range makes the configuration invalid."""


def resolve(schema, node):
    while "$ref" in node:
        target = schema
        for part in node["$ref"][2:].split("/"):
            target = target[part]
        node = {**target, **{k: v for k, v in node.items() if k != "$ref"}}
    return node


def rows(schema, node, path):
    required = set(node.get("required", []))
    for name, raw in node.get("properties", {}).items():
        member = resolve(schema, raw)
        default = json.dumps(member["default"]) if "default" in member else ""
        if name in required:
            default = "required"
        limits = ""
        if "minimum" in member:
            limits = f"{member['minimum']} to {member['maximum']}"
        kind = member.get("type", "one of " + ", ".join(map(str, member.get("enum", []))))
        yield f"| `{path}/{name}` | {kind} | {default} | {limits} | {member.get('description', '')} |"
        yield from rows(schema, member, f"{path}/{name}")
        if "items" in member:
            yield from rows(schema, resolve(schema, member["items"]), f"{path}/{name}/*")


def page():
    lines = ["# Settings and declarations", "",
             "Made by `scripts/settings_reference.py` from `schema/`, which also checks the files.", ""]
    for title, name in (("Settings of a daemon", "settings"), ("Declarations", "declarations")):
        schema = json.loads((ROOT / "schema" / f"{name}.schema.json").read_text())
        lines += [f"## {title}", "", "| member | type | default | range | meaning |",
                  "|---|---|---|---|---|", *rows(schema, schema, ""), ""]
    lines += PLATFORM.splitlines() + [""]
    return "\n".join(lines)


def main():
    text = page()
    if "--check" in sys.argv[1:]:
        sys.exit(0 if TARGET.read_text() == text else "docs/SETTINGS.md is stale")
    TARGET.write_text(text)


if __name__ == "__main__":
    main()
