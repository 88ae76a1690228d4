"""Processes, settings and small stand-ins for the scripted cases of the second review.

Everything listens on loopback addresses: each machine of the deployment has one of 127.0.0.0/8.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "workshatch-platform")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BEGAN = time.monotonic()

HELD, BROKEN, NOT_RUN = 0, 1, 2


def now():
    """Seconds since the script started."""
    return time.monotonic() - BEGAN


class Record:
    """record.txt in the folder of the case: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, *words):
        self.file.write("%8.3f  %s\n" % (now(), " ".join(str(word) for word in words)))
        self.file.flush()


class Fleet:
    """The machines of a deployment, each with a relay, the first `disks` also with a replica."""

    PORTS = ("front", "ready", "directory", "control", "link", "forward", "relay_metrics",
             "group_metrics", "platform", "runner")

    def __init__(self, machines, disks, zones):
        self.machines = machines
        self.disks = disks
        self.zones = zones
        self.folder = tempfile.mkdtemp(prefix="workshatch-review-")
        self.processes = {}
        self.choose_addresses()

    def choose_addresses(self):
        """Takes a free /24 of 127.0.0.0/8 and ports that are free there."""
        for _ in range(200):
            self.network = "127.%d.%d" % (random.randrange(10, 250), random.randrange(1, 250))
            first = random.randrange(20000, 30000)
            self.ports = {name: first + i for i, name in enumerate(self.PORTS)}
            if all(self.is_free(self.ip(1), port) for port in self.ports.values()):
                return
        raise RuntimeError("no free ports")

    @staticmethod
    def is_free(ip, port):
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
        return True

    def ip(self, machine):
        return "%s.%d" % (self.network, machine)

    def platform_ip(self):
        return "%s.250" % self.network

    def runner_ip(self, runner):
        return "%s.%d" % (self.network, 100 + runner)

    def zone(self, machine):
        return self.zones[(machine - 1) % len(self.zones)]

    def address(self, machine, port):
        return "%s:%d" % (self.ip(machine), self.ports[port])

    def settings(self, machine, role, bootstrap):
        """Writes what deploy/relay.json.template gives for this machine. Returns the path."""
        relay = role == "relay"
        settings = {
            "name": "front-%s-%d" % (self.zone(machine), machine),
            "zone": self.zone(machine),
            "zones": {zone: "cuyo" for zone in self.zones},
            "ip": self.ip(machine),
            "caller_address": self.address(machine, "front") if relay else "",
            "ready_address": self.address(machine, "ready") if relay else "",
            "resolve_address": self.address(machine, "directory") if relay else "",
            "operator_address": "" if relay else self.address(machine, "control"),
            "metrics_address": self.address(machine, role + "_metrics"),
            "link_port": self.ports["link"],
            "forward_port": self.ports["forward"],
            "seeds": [self.address(seed, "control") for seed in range(1, self.disks + 1)],
            "first_start": bootstrap,
            "data_folder": "" if relay else os.path.join(self.folder, "data-%d" % machine),
            "runner_list_address": "%s:%d" % (self.platform_ip(), self.ports["platform"]),
            "runner_list_calls": 47.0,
            "link_mbps": 1000.0,
            "replica_losses": 1,
            "bounds": {
                "revoked_key_ms": 5000, "leaving_runner_ms": 3000, "stop_s": 8,
                "repeat_ratio": 0.2, "repeat_window_s": 10, "repeat_slack": 64,
                "load_cap_factor": 2, "endpoints_ttl_s": 1, "degraded_endpoints_ttl_s": 5,
            },
        }
        path = os.path.join(self.folder, "%s-%d.json" % (role, machine))
        with open(path, "w") as file:
            json.dump(settings, file)
        return path

    async def start(self, machine, role, bootstrap):
        """Starts one role with the command of the deploy file."""
        path = self.settings(machine, role, bootstrap)
        log = open(os.path.join(self.folder, "%s-%d.log" % (role, machine)), "ab")
        environment = {"WORKSHATCH_SETTINGS": path, "PATH": os.environ.get("PATH", "")}
        process = await asyncio.create_subprocess_exec(PROGRAM, role, cwd=ROOT, env=environment,
                                                       stdout=log, stderr=log)
        log.close()
        self.processes[(role, machine)] = process
        return process

    def signal(self, machine, role, number):
        self.processes[(role, machine)].send_signal(number)

    async def stop(self):
        """Ends all processes and removes the folder."""
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            await process.wait()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def headers_of(head):
    """(status, {name in lower case: value}) of the head of a response."""
    lines = head.decode("latin1").split("\r\n")
    fields = (line.split(":", 1) for line in lines[1:] if ":" in line)
    return int(lines[0].split()[1]), {name.lower(): value.strip() for name, value in fields}


async def call(address, method, path, headers=None, body=b"", timeout=1.0):
    """One HTTP call on a new connection. Returns (status, headers, body); status None: no answer."""
    async def exchange():
        ip, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            fields = {"Host": address, "Connection": "close", "Content-Length": str(len(body))}
            fields.update(headers or {})
            lines = "".join("%s: %s\r\n" % field for field in fields.items())
            writer.write(("%s %s HTTP/1.1\r\n%s\r\n" % (method, path, lines)).encode() + body)
            head = await reader.readuntil(b"\r\n\r\n")
            status, fields = headers_of(head)
            return status, fields, await reader.readexactly(int(fields.get("content-length", "0")))
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None, {}, b""


async def operator_call(address, method, path, body=b""):
    """A call of the operator, which follows 307 twice."""
    for _ in range(3):
        status, fields, answer = await call(address, method, path,
                                            {"Content-Type": "application/json"}, body)
        if status != 307 or "location" not in fields:
            break
        address = fields["location"].split("/")[2]
    return status, answer


async def put_configuration(fleet, configuration, limit_s):
    """Sends a configuration to one replica after another until one acknowledges it, as the operator
    does. Returns whether it was acknowledged within `limit_s`."""
    body = json.dumps(configuration).encode()
    until = now() + limit_s
    while now() < until:
        for machine in range(1, fleet.disks + 1):
            status, _ = await operator_call(fleet.address(machine, "control"), "POST",
                                            "/-/config/put", body)
            if status == 200:
                return True
        await asyncio.sleep(0.3)
    return False


async def all_ready(fleet, limit_s):
    """Waits until the platform's check finds every relay ready."""
    until = now() + limit_s
    while now() < until:
        states = [(await call(fleet.address(machine, "ready"), "GET", "/-/readyz"))[0]
                  for machine in range(1, fleet.machines + 1)]
        if all(state == 200 for state in states):
            return True
        await asyncio.sleep(0.2)
    return False


class Platform:
    """The platform's list of runners: `entries` is a function that returns the instances."""

    def __init__(self, fleet, entries):
        self.fleet = fleet
        self.entries = entries

    async def start(self):
        await asyncio.start_server(self.serve, self.fleet.platform_ip(),
                                   self.fleet.ports["platform"])

    async def serve(self, reader, writer):
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                body = json.dumps({"instances": self.entries(), "nextToken": None}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            writer.close()


def run_case(main, record):
    """Runs a case. An error of the script itself means that the case couldn't run."""
    try:
        result = asyncio.run(main())
    except (Exception, KeyboardInterrupt) as error:
        record("the case couldn't run:", repr(error))
        result = NOT_RUN
    record("result", result)
    return result
