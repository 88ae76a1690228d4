#!/usr/bin/env python3
"""Generates examples/: settings, declarations and machine lists of two sites, each in full size and
as a small demo.

The keys in the examples are placeholders; each site must generate its own. Settings files contain
keys, so the files that a daemon reads must have mode 0600.
"""
import json
import pathlib

ROOT = pathlib.Path(__file__).resolve().parent.parent / "examples"
HTTP_PORT, RPC_PORT, PEER_PORT, RUNNER_PORT = 8080, 8070, 8090, 8000
KEYS = {
    "control_key": "example-control-key-change-me",
    "peer_key": "example-peer-key-change-me",
    "operator_token": "example-operator-token-change-me",
}


def write(path, document):
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(document, indent=2) + "\n")


def settings(site, number, zones, control_count, data_root, overrides):
    host = f"{site['network']}.{number}"
    controls = [f"{site['network']}.{i}:{RPC_PORT}" for i in range(1, control_count + 1)]
    document = {
        "name": f"entry-{number}",
        "zone": zones[(number - 1) % len(zones)],
        "control_addresses": controls,
        "control_key": KEYS["control_key"],
        "router": {
            "http_address": f"{host}:{HTTP_PORT}",
            "peer_address": f"{host}:{PEER_PORT}",
            "peer_key": KEYS["peer_key"],
            "platform_address": f"{site['network']}.100:{RUNNER_PORT}",
            **overrides,
        },
    }
    if number <= control_count:
        document["control"] = {
            "data_folder": f"{data_root}/entry-{number}",
            "rpc_address": f"{host}:{RPC_PORT}",
            "operator_token": KEYS["operator_token"],
        }
    return document


def machines(site, pools, zones):
    result = []
    host = 20
    for pool in pools:
        for index in range(pool["runners"]):
            host += 1
            result.append({
                "runner": f"{pool['service']}-{index + 1}",
                "address": f"{site['network']}.{host}:{RUNNER_PORT}",
                "service": pool["service"],
                "zone": zones[index % len(zones)],
                "engines": pool["engines"][index % len(pool["engines"])],
                "state": "live",
            })
    return result


def make(name, site, entries, pools, declarations, data_root, overrides):
    folder = ROOT / name
    zones = site["zones"]
    for number in range(1, entries + 1):
        write(folder / "settings" / f"entry-{number}.json",
              settings(site, number, zones, 3, data_root, overrides))
    for file_name, document in declarations.items():
        write(folder / "declarations" / f"{file_name}.json", document)
    write(folder / "machines.json", machines(site, pools, zones))


def acampar_declarations():
    large = {"families": 4, "schools": 4, "rangers": 6}
    small = ["hikers", "mendoza-parks", "san-juan-parks", "campers", "permits", "trails", "gear"]
    tenants = [{"name": n, "weight": w} for n, w in large.items()]
    tenants += [{"name": n, "weight": 1, "max_in_flight": 200} for n in small]
    return {
        "tenants": {"tenants": tenants},
        "services": {
            "services": [
                {"name": "assistant", "kind": "model", "load_unit": "requests", "engine_limit": 64},
                {"name": "booking", "kind": "plain", "engine_limit": 256},
            ],
            "routes": [
                {"service": "assistant", "deadline_ms": 120000},
                {"service": "booking", "path_prefix": "/lookups", "deadline_ms": 5000},
                {"service": "booking", "path_prefix": "/confirmations", "repeatable": False,
                 "deadline_ms": 20000, "priority": 10},
            ],
            "sessions": {"remember_seconds": 43200, "remember_entries": 65536},
        },
        "models": {
            "models": [{"name": "assistant", "version": "1", "adapters": ["park-rules"]}],
            "placement": [{"model": "assistant", "min_engines": 3}],
        },
    }


def harvest_declarations():
    large = {"kongoni-estate": 5, "marula-estate": 5, "kijabe-estate": 4}
    small = ["olkaria", "sanctuary", "crater", "longonot", "maiella", "moi-south", "co-op"]
    tenants = [{"name": n, "weight": w} for n, w in large.items()]
    tenants += [{"name": n, "weight": 2} for n in small]
    return {
        "tenants": {"tenants": tenants},
        "services": {
            "services": [
                {"name": "shared-model", "kind": "model", "load_unit": "requests",
                 "engine_limit": 64},
                {"name": "harvest", "kind": "plain", "engine_limit": 256},
            ],
            "routes": [
                {"service": "shared-model", "deadline_ms": 600000},
                {"service": "harvest", "path_prefix": "/tally", "deadline_ms": 5000},
                {"service": "harvest", "path_prefix": "/tickets", "repeatable": False,
                 "deadline_ms": 20000, "priority": 10},
            ],
            "sessions": {"remember_seconds": 43200, "remember_entries": 65536},
        },
        "models": {
            "models": [{"name": "shared-model", "version": "1", "adapters": ["ledger"]}],
            "placement": [{"model": "shared-model", "min_engines": 3}],
        },
    }


def main():
    data = "/var/lib/workshatch"
    acampar = {"network": "192.0.2", "zones": ["mendoza-a", "mendoza-b", "san-juan"]}
    harvest = {"network": "198.51.100", "zones": ["hall-kongoni", "hall-marula", "hall-kijabe"]}
    engines = [4, 3, 3]
    make("acampar", acampar, 10,
         [{"service": "assistant", "runners": 12, "engines": engines},
          {"service": "booking", "runners": 3, "engines": [1]}],
         acampar_declarations(), data, {})
    make("harvest", harvest, 12,
         [{"service": "shared-model", "runners": 12, "engines": engines},
          {"service": "harvest", "runners": 3, "engines": [1]}],
         harvest_declarations(), data, {})
    fast = {"endpoints_ttl_ms": 1000}
    make("acampar-demo", {**acampar, "network": "127.0.10"}, 5,
         [{"service": "assistant", "runners": 4, "engines": [2]},
          {"service": "booking", "runners": 2, "engines": [1]}],
         acampar_declarations(), "run/demo/data", fast)
    make("harvest-demo", {**harvest, "network": "127.0.11"}, 5,
         [{"service": "shared-model", "runners": 4, "engines": [2]},
          {"service": "harvest", "runners": 2, "engines": [1]}],
         harvest_declarations(), "run/demo/data", fast)


if __name__ == "__main__":
    main()
