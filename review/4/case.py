"""Every process is killed soon after a release has replaced the last runner of a version."""
import asyncio
import collections
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "kit-2"))
import fleet as kit

MACHINES, DISKS, ZONES = 6, 3, ["mendoza-a", "mendoza-b", "san-juan"]
CHATS = 24
EVENTS = 120
EVENT_S = 0.1
DEADLINE_S = 15.0
# Tries of a caller, and its first wait where an answer names none; each later wait is doubled.
TRIES = 6
RETRY_S = 0.3
# The release of half of the runners: one at a time, the new one first; a leaving runner serves for
# drainMs and a little more.
RELEASE_GAP_S = 1.0
DRAIN_S = 3.0 + 1.0
# The kill comes so long after the last runner of the former version has ended.
KILL_AFTER_S = 1.0
DOWN_S = 1.2
PATH = "/chat/say"

record = kit.Record(HERE)
fleet = kit.Fleet(MACHINES, DISKS, ZONES)
engines = []


class Engine:
    """A sound engine of one software version."""

    def __init__(self, number, version):
        self.id = "i-%08x" % random.getrandbits(32)
        self.ip = fleet.runner_ip(number)
        self.version = version
        self.state = "ready"
        self.server = None
        self.writers = set()

    def entry(self):
        return {"id": self.id, "service": "asistente", "address": "%s:%d" % (
                    self.ip, fleet.ports["runner"]), "zone": ZONES[0], "version": self.version,
                "slots": 64, "state": self.state, "coldLeftMs": 0, "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}]}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, fleet.ports["runner"])
        engines.append(self)
        record("runner", self.id, "starts at version", self.version)

    async def leave(self):
        """Drains, then ends and is taken off the platform's list."""
        self.state = "draining"
        record("runner", self.id, "is draining")
        await asyncio.sleep(DRAIN_S)
        engines.remove(self)
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        record("runner", self.id, "of version", self.version, "has ended")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                _, fields = kit.headers_of(b"HTTP/1.1 0\r\n" + head.split(b"\r\n", 1)[1])
                await reader.readexactly(int(fields.get("content-length", "0")))
                await self.run(fields, reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def run(self, fields, reader, writer):
        request = fields["x-request-id"]
        if fields.get("x-target-instance") != self.id:
            writer.write(b"HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n"
                         b"Content-Length: 0\r\n\r\n")
            return
        begin = int(fields.get("last-event-id", "0"))
        record("run begins", request, "at", self.id, "version", self.version, "after event", begin)
        close = "Connection: close\r\n" if self.state == "draining" else ""
        writer.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: %s\r\n"
                      "X-Server-Signature: %s.%s\r\n%sTransfer-Encoding: chunked\r\n\r\n"
                      % (request, request, self.id, close)).encode())
        for number in range(begin + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            if reader.at_eof() or writer.is_closing():
                raise asyncio.IncompleteReadError(b"", None)
            event = ("id: %d\ndata: %s\n\n" % (number, self.version)).encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


class Chat:
    """A caller's stream over all its tries."""

    def __init__(self, number):
        self.number = number
        self.first_request = None
        self.events = []
        self.complete = False

    async def say(self):
        until = kit.now() + DEADLINE_S
        for number in range(TRIES):
            left_s = until - kit.now()
            if self.complete or left_s <= 0:
                break
            wait_s = await self.attempt(left_s, RETRY_S * 2 ** number)
            if not self.complete:
                await asyncio.sleep(min(wait_s, max(until - kit.now(), 0) / 3))

    async def attempt(self, left_s, wait_s):
        """One try, on a new connection. Returns how long to wait before the next one."""
        request = "%016x" % random.getrandbits(64)
        machine = random.randrange(1, MACHINES + 1)
        resumed = ""
        if self.events:
            resumed = "Last-Event-Id: %d\r\nResumes: %s\r\n" % (self.events[-1][0],
                                                               self.first_request)
        body = b"q" * 1400
        text = ("POST %s HTTP/1.1\r\nHost: parks.example\r\nX-Request-Id: %s\r\nX-Model: m\r\n"
                "X-Token-Usage: 713,280\r\nX-Prompt-Prefix: 5c1e07a2:103,91bd3f%02x:500,"
                "e4402b%02x:110\r\nX-Deadline-Ms: %d\r\nX-Api-Key: key-of-campers\r\n%s"
                "Content-Length: %d\r\n\r\n" % (PATH, request, self.number, self.number,
                                                left_s * 1000, resumed, len(body)))
        end, before = "no connection", len(self.events)
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(fleet.ip(machine), fleet.ports["front"]), 1)
            writer.write(text.encode() + body)
            record("sent", request, "to machine", machine, "chat", self.number,
                   "resumes " + self.first_request if resumed else "")
            end = "broken off"
            status, fields = kit.headers_of(
                await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), left_s))
            end = "status %d" % status
            if status == 200:
                end = "broken off"
                await asyncio.wait_for(self.read(reader, request), left_s)
                end = "complete"
            elif "retry-after" in fields:
                wait_s = float(fields["retry-after"])
            writer.close()
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
            pass
        versions = collections.Counter(version for _, version in self.events[before:])
        record("answer", request, "chat", self.number, ":", end, "- events by version:",
               dict(versions))
        return wait_s

    async def read(self, reader, request):
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            chunk = (await reader.readexactly(size + 2))[:-2].decode()
            if size == 0:
                self.complete = True
                return
            lines = dict(line.split(": ", 1) for line in chunk.split("\n") if line)
            if not self.events:
                self.first_request = request
            self.events.append((int(lines["id"]), lines["data"]))


def configuration(version):
    return {
        "version": version,
        "routes": [{"name": "camper-chat", "host": "parks.example", "pathPrefix": "/chat/",
                    "kind": "streaming", "timeoutMs": 15000, "goalMs": 400, "priority": 2,
                    "service": "asistente", "maxAttempts": 2, "anonymous": False, "sticky": True,
                    "resumable": True, "gapTargetMs": 300}],
        "services": [{"name": "asistente", "healthPath": "/healthz", "maxConns": 390,
                      "protocol": "h1", "tls": False,
                      "engine": {"slots": 64, "kvCapacity": 363122, "kvTokenBytes": 327680,
                                 "linkMbps": 370000.0, "moves": True, "backups": True, "stride": 3,
                                 "most": 2, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0,
                                 "models": [{"name": "m"}]}}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": [{"name": "campers", "apiKeys": ["key-of-campers"], "priority": 1}],
    }


async def start_all(bootstrap):
    for machine in range(1, MACHINES + 1):
        await fleet.start(machine, "relay", bootstrap)
        if machine <= DISKS:
            await fleet.start(machine, "group", bootstrap)


async def kill_all():
    for role, machine in list(fleet.processes):
        fleet.signal(machine, role, signal.SIGKILL)
    for process in fleet.processes.values():
        await process.wait()
    record("all processes killed")
    await asyncio.sleep(DOWN_S)
    await start_all(False)
    record("all processes started again")


async def play():
    # The first half of the runners has been replaced before; so versions are mixed from the start.
    former = [Engine(number, "v1") for number in (1, 2)]
    for engine in former + [Engine(number, "v1.1") for number in (3, 4)]:
        await engine.start()
    await kit.Platform(fleet, lambda: [engine.entry() for engine in engines]).start()
    await start_all(True)
    if not await kit.put_configuration(fleet, configuration(1), 10):
        return kit.NOT_RUN
    if not await kit.all_ready(fleet, 10):
        return kit.NOT_RUN
    record("configuration 1 acknowledged, all machines ready")
    await asyncio.sleep(2)
    chats = [Chat(number) for number in range(CHATS)]
    said = [asyncio.create_task(chat.say()) for chat in chats]
    await asyncio.sleep(1)
    leaving = []
    for number, engine in enumerate(former):
        await Engine(5 + number, "v1.1").start()
        await asyncio.sleep(RELEASE_GAP_S)
        leaving.append(asyncio.create_task(engine.leave()))
    await asyncio.gather(*leaving)
    await asyncio.sleep(KILL_AFTER_S)
    # A final fault strikes right after one more change was acknowledged.
    if not await kit.put_configuration(fleet, configuration(2), 4):
        return kit.NOT_RUN
    record("configuration 2 acknowledged")
    if kit.TROUBLE:
        await kill_all()
    await asyncio.gather(*said)
    mixed = [chat for chat in chats if len({version for _, version in chat.events}) > 1]
    for chat in mixed:
        record("ORDER: chat", chat.number, "holds events of two versions:",
               dict(collections.Counter(version for _, version in chat.events)))
    if not any(chat.events for chat in chats):
        return kit.NOT_RUN
    # The rule allows two streams.
    return kit.BROKEN if len(mixed) > 2 else kit.HELD


async def main():
    try:
        return await play()
    finally:
        await fleet.stop()


if __name__ == "__main__":
    sys.exit(kit.run_case(main, record))
