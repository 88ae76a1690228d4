#!/usr/bin/env python3
"""Generates docs/SETTINGS.md from the JSON schemas that validate settings and declarations.

With --check, writes nothing and fails if the page is stale.
"""
import json
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
TARGET = ROOT / "docs" / "SETTINGS.md"


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
    return "\n".join(lines)


def main():
    text = page()
    if "--check" in sys.argv[1:]:
        sys.exit(0 if TARGET.read_text() == text else "docs/SETTINGS.md is stale")
    TARGET.write_text(text)


if __name__ == "__main__":
    main()
