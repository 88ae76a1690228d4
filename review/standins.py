"""Stand-ins for the platform, runners, clients and the operator, and a small fleet of the project's
own programs. Used by the run.sh of the cases. Only the standard library is used."""

import http.client
import http.server
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "workshatch-platform")

BROKEN, HELD, NOT_RUN = 1, 0, 2


class CannotRun(Exception):
    """The case could not be set up; its result says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def write(self, text):
        with self._lock:
            self._file.write("%8.3f  %s\n" % (self.now(), text))
            self._file.flush()

    def close(self):
        self._file.close()


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *arguments):
        pass

    def send(self, status, body, headers=()):
        self.send_response_only(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Connections that the other end resets are ordinary here."""


def _serve(handler, ip):
    server = _Server((ip, 0), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server, "%s:%d" % (ip, server.server_address[1])


class Platform:
    """The platform's list of runners: GET /instances."""

    def __init__(self, ip):
        self.entries = []
        platform = self

        class Handler(_Handler):
            def do_GET(self):
                if not self.path.startswith("/instances"):
                    self.send(404, b"")
                    return
                body = json.dumps({"instances": platform.entries, "nextToken": None}).encode()
                self.send(200, body, [("Content-Type", "application/json")])

        self.server, self.address = _serve(Handler, ip)


class Runner:
    """A runner of a plain service. It runs each request that is addressed to it, and notes it."""

    def __init__(self, ip, service, zone, record, work_s=0.0):
        self.id = "i-%08x" % random.getrandbits(32)
        self.work_s = work_s
        self.service = service
        self.zone = zone
        self.runs = []
        runner = self

        class Handler(_Handler):
            def do_GET(self):
                self.answer(b"")

            def do_POST(self):
                self.answer(self.rfile.read(int(self.headers.get("Content-Length", "0"))))

            def answer(self, _body):
                if self.path == "/healthz":
                    self.send(200, b"", [("X-Instance-Id", runner.id)])
                    return
                request_id = self.headers.get("X-Request-Id", "")
                target = self.headers.get("X-Target-Instance")
                if target is not None and target != runner.id:
                    self.send(421, b"", [("X-Request-Id", request_id), ("X-Not-Executed", "1")])
                    return
                runner.runs.append(request_id)
                record.write("runner %s runs %s" % (runner.id, request_id))
                time.sleep(runner.work_s)
                self.send(200, b"ran " + request_id.encode(),
                          [("X-Request-Id", request_id), ("X-Server-Signature", "s." + request_id)])

        self.server, self.address = _serve(Handler, ip)

    def entry(self, state="ready"):
        return {"id": self.id, "service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": 6, "state": state, "coldLeftMs": 0}


class Machine:
    """One machine: its address, its disk, and its processes of the roles relay and group."""

    def __init__(self, fleet, number, zone):
        self.fleet = fleet
        self.zone = zone
        self.ip = "127.%d.%d.%d" % (fleet.network[0], fleet.network[1], number)
        self.name = "front-%s-%d" % (zone, number)
        self.data = os.path.join(fleet.folder, self.name)
        self.processes = {}

    def control(self):
        return "%s:%d" % (self.ip, self.fleet.ports["control"])

    def front(self):
        return "%s:%d" % (self.ip, self.fleet.ports["front"])

    def settings(self, role, seeds, bootstrap):
        fleet, ports = self.fleet, self.fleet.ports
        listen = {"caller_address": "", "ready_address": "", "resolve_address": "",
                  "operator_address": ""}
        if role == "relay":
            listen["caller_address"] = self.front()
            listen["ready_address"] = "%s:%d" % (self.ip, ports["ready"])
            listen["resolve_address"] = "%s:%d" % (self.ip, ports["directory"])
        else:
            listen["operator_address"] = self.control()
        settings = {
            "name": self.name, "zone": self.zone, "zones": fleet.zones, "ip": self.ip,
            "metrics_address": "%s:%d" % (self.ip, ports["metrics_" + role]),
            "link_port": ports["link"], "forward_port": ports["forward"], "seeds": seeds,
            "first_start": bootstrap, "data_folder": os.path.join(self.data, role),
            "runner_list_address": fleet.platform.address, "runner_list_calls": 47.0,
            "link_mbps": 1000.0, "replica_losses": 1,
            # The bounds of the site that claim.txt names.
            "bounds": {"revoked_key_ms": 5000, "leaving_runner_ms": 3000, "stop_s": 8,
                       "repeat_ratio": 0.2, "repeat_window_s": 10, "repeat_slack": 64,
                       "load_cap_factor": 2, "endpoints_ttl_s": 1, "degraded_endpoints_ttl_s": 5}}
        settings.update(listen)
        return settings

    def start(self, seeds, bootstrap, roles=("group", "relay")):
        os.makedirs(self.data, exist_ok=True)
        for role in roles:
            os.makedirs(os.path.join(self.data, role), exist_ok=True)
            path = os.path.join(self.fleet.folder, "%s-%s.json" % (self.name, role))
            with open(path, "w", encoding="utf-8") as file:
                json.dump(self.settings(role, seeds, bootstrap), file)
            log = open(os.path.join(self.fleet.folder, "%s-%s.log" % (self.name, role)), "a",
                       encoding="utf-8")
            environment = {"PATH": os.environ.get("PATH", ""), "WORKSHATCH_SETTINGS": path}
            self.processes[role] = subprocess.Popen(
                ["target/workshatch-platform", role], cwd=ROOT, env=environment, stdout=log,
                stderr=log, stdin=subprocess.DEVNULL)
            log.close()
        self.fleet.record.write("machine %s (%s) starts, bootstrap=%s" % (
            self.name, self.ip, str(bootstrap).lower()))

    def signal(self, number):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(number)

    def wait_end(self, seconds, roles=("group", "relay")):
        end = time.monotonic() + seconds
        for role in roles:
            if role in self.processes:
                try:
                    self.processes[role].wait(max(0.01, end - time.monotonic()))
                except subprocess.TimeoutExpired:
                    return False
        return True

    def kill(self):
        self.signal(signal.SIGKILL)
        self.wait_end(5)

    def lose_disk(self):
        shutil.rmtree(self.data, ignore_errors=True)


class Fleet:
    def __init__(self, record, zones):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/workshatch-platform is not built")
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="workshatch-review-")
        self.zones = zones
        self.network = (random.randint(20, 250), random.randint(1, 250))
        self.machines = []
        # One set of ports for all machines, below the range of outgoing connections.
        base = random.randint(12000, 28000)
        names = ["front", "ready", "control", "directory", "metrics_relay", "metrics_group", "link",
                 "forward"]
        self.ports = {name: base + number for number, name in enumerate(names)}
        self.platform = Platform(self.host(250))

    def host(self, number):
        return "127.%d.%d.%d" % (self.network[0], self.network[1], number)

    def add(self, zone):
        machine = Machine(self, len(self.machines) + 1, zone)
        self.machines.append(machine)
        return machine

    def end(self):
        for machine in self.machines:
            machine.kill()
        if os.environ.get("KEEP_LOGS"):
            print("logs: " + self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def call(address, method, path, body=b"", headers=None, timeout=1.0):
    """@return (status, headers, body), or (None, {}, reason) without a whole answer."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read()
    except (OSError, http.client.HTTPException) as failure:
        return None, {}, (type(failure).__name__ + " " + str(failure)).encode()
    finally:
        connection.close()


class Operator:
    """Sends calls to the machines that serve `control`, as the operator's page says: goes on to
    another node after a failure, a 5xx or a second without an answer, and follows 307 twice."""

    def __init__(self, fleet, controls):
        self.fleet = fleet
        self.controls = controls

    def once(self, address, method, path, body=b""):
        for _ in range(3):
            status, headers, answer = call(address, method, path, body)
            if status != 307:
                return status, answer
            address = headers.get("Location", "").split("/")[2]
        return status, answer

    def until_answered(self, method, path, body=b"", seconds=10.0):
        end = time.monotonic() + seconds
        backoff = 0.05
        while True:
            for machine in list(self.controls):
                status, answer = self.once(machine.control(), method, path, body)
                if status is not None and status < 500 and status not in (307, 408, 429):
                    return status, answer
                if time.monotonic() > end:
                    return status, answer
            time.sleep(backoff)
            backoff = min(backoff * 2, 0.5)

    def put(self, configuration, seconds=10.0):
        body = json.dumps(configuration).encode()
        status, answer = self.until_answered("POST", "/-/config/put", body, seconds)
        self.fleet.record.write("operator: put of version %d: %s" % (
            configuration["version"], status))
        return status

    def get(self, seconds=10.0):
        status, answer = self.until_answered("GET", "/-/config/get", b"", seconds)
        version = json.loads(answer)["version"] if status == 200 else None
        self.fleet.record.write("operator: get: %s, version %s" % (status, version))
        return status, version


class Caller:
    """Sends tickets on one kept connection, one after the other."""

    def __init__(self, number, machine, record, key):
        self.number = number
        self.key = key
        self.machine = machine
        self.record = record
        self.answered = 0
        self.closed = []  # ids of requests whose kept connection was closed without an answer
        self.ended = False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        host, port = self.machine.front().split(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=5)
        used = 0
        sequence = 0
        while not self.ended:
            sequence += 1
            request_id = "%02d%014x" % (self.number, sequence)
            try:
                connection.request("POST", "/ticket/1", body=b"ticket", headers={
                    "Host": "desk.example", "X-Request-Id": request_id, "X-Deadline-Ms": "3000",
                    "X-Api-Key": self.key})
                response = connection.getresponse()
                response.read()
                used += 1
                self.answered += 1
                self.record.write("caller %d: %s: %d" % (self.number, request_id, response.status))
            except (OSError, http.client.HTTPException) as failure:
                if self.ended:
                    return
                self.record.write("caller %d: %s: no answer, %s on a connection used %d times" % (
                    self.number, request_id, type(failure).__name__, used))
                if used > 0:
                    self.closed.append(request_id)
                return


def peak_mb(process):
    """@return the process's peak of resident memory in MB; 0 once it has ended."""
    try:
        with open("/proc/%d/status" % process.pid, encoding="ascii") as status:
            for line in status:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0


class MemoryLimit:
    """The platform: "A process that goes over memoryMb is killed"."""

    def __init__(self, process, name, record, limit_mb):
        self.process = process
        self.limit_mb = limit_mb
        self.peak = 0
        self.killed = False
        self.ended = False
        self.name = name
        self.record = record
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while not self.ended and self.process.poll() is None:
            self.peak = max(self.peak, peak_mb(self.process))
            if self.peak > self.limit_mb:
                self.killed = True
                self.record.write("platform: the relay process of %s is over memoryMb (%.0f MB) "
                                  "and is killed" % (self.name, self.peak))
                self.process.send_signal(signal.SIGKILL)
                return
            time.sleep(0.01)


def judge_closes(record, limit, callers, runners, allowed):
    """Judges the rule LOST on kept connections. @return the exit code of the case"""
    limit.ended = True
    closed = [request for caller in callers for request in caller.closed]
    for caller in callers:
        caller.ended = True
    runs = {request for runner in runners for request in runner.runs}
    passed_on = [request for request in closed if request in runs]
    record.write("peak memory of the relay process: %.0f MB of %d; killed: %s" % (
        limit.peak, limit.limit_mb, limit.killed))
    record.write("kept connections closed without an answer after their request was passed on to "
                 "a sound runner: %d; allowed: %d" % (len(passed_on), allowed))
    return BROKEN if len(passed_on) > allowed else HELD


def run_case(main):
    """Runs main(record, trouble) -> exit code, and maps failures of the setup to 2."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        code = main(record, trouble)
    except CannotRun as reason:
        record.write("the case could not run: %s" % reason)
        code = NOT_RUN
    except Exception as failure:  # pylint: disable=broad-except
        record.write("the case could not run: %s: %s" % (type(failure).__name__, failure))
        code = NOT_RUN
    record.write("result: %s" % {BROKEN: "the rule was broken", HELD: "the rule held",
                                 NOT_RUN: "the case could not run"}[code])
    record.close()
    sys.exit(code)
