"""Stand-ins for clients, servers (hosts) and discovery, and the start of real gateway processes.

Everything runs on 127.0.0.1 with free ports. The stand-ins follow the operators' protocol page; what a case
makes them do beside that is in the case's own script.
"""
import asyncio
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CLASSES = [  # name, effect, aim, deadline, worth, late worth: as in the settings of colombo-booking
    ("slot-search", "pure", 500.0, 1000.0, 3.0, 0.5),
    ("address-check", "pure", 600.0, 3000.0, 1.0, 0.5),
    ("booking-status", "pure", 400.0, 1200.0, 1.0, 0.3),
    ("confirm-booking", "side_effect", 1000.0, 3000.0, 8.0, 0.2),
]
DEADLINE_MS = {name: deadline for name, _, _, deadline, _, _ in CLASSES}


class CouldNotRun(Exception):
    """The case could not run: exit code 2."""


class Record:
    """record.txt: what was sent, answered and run, with the time since the start in seconds."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write("%9.4f  %s\n" % (time.monotonic() - self.start, text))
        self.file.flush()


def free_port():
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def settings(gateways=1, index=0, zone="kolonnawa"):
    """The object `settings` of the configuration, with the figures of colombo-booking."""
    return {
        "azs": ["kolonnawa", "rajagiriya", "ratmalana"],
        "zone": zone,
        "family": "proxy",
        "familyInfo": {"warmKeys": False},
        "machineTypes": ["new-fast", "standard", "old-slow"],
        "membershipMode": "ask",
        "peersTotal": gateways,
        "selfIndex": index,
        "tier": 0,
        "tiers": ["booking-web"],
        "tickMs": 5.0,
        "weights": "rough",
        "countedBy": "request",
        "overShareWorth": 0.1,
        "clientHabits": {"marksRetry": True},
        "categories": [
            {"name": n, "group": "all", "idempotency": e, "sloMs": a, "deadlineMs": d, "importance": w,
             "lateWorth": lw, "repeatWindowMs": 5000.0, "streamed": False}
            for n, e, a, d, w, lw in CLASSES
        ],
        "projects": [
            {"name": "islandnet", "quotaPerS": 290.0, "share": 0.5},
            {"name": "coastlink", "quotaPerS": 290.0, "share": 0.5},
        ],
        "limits": {"cancelling": True, "connIdleMs": 30000.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 800000,
                   "dialTimeoutMs": 200.0, "maxAttempts": 3, "maxOpen": 20000, "maxRetryAfterMs": 2000.0,
                   "mayProbe": True, "mayTell": True, "multiplex": 1, "parallelTries": True,
                   "retryAfter": True},
        "report": {"fields": [], "source": "none"},
        "rules": {"askWithinMs": 10000.0, "coldFrom": 0.12, "coldMs": 24000.0, "drainGraceMs": 500.0,
                  "fallMs": 3000.0, "fallMultiple": 2.5, "graceToAnswerMs": 20.0},
        "scoreParts": {"whole": 0.45, "worstClass": 0.3, "worstTenant": 0.1, "worstWindow": 0.15},
        "prices": {"crossZone": 0.08, "lateFail": 0.05, "peer": 0.01, "probe": 0.01, "waste": 0.04},
    }


# --- HTTP

async def read_head(reader):
    """Reads a message head. Returns the first line and the fields (names in lower case); None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if "chunked" in fields.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    length = int(fields.get("content-length", "0"))
    return await reader.readexactly(length)


def response(status, body=b"", fields=()):
    reason = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}.get(status, "Status")
    head = "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n" % (status, reason, len(body))
    head += "".join("%s: %s\r\n" % field for field in fields)
    return head.encode() + b"\r\n" + body


def request_head(request_id, kind, deadline_ms, body_bytes=0, owner="islandnet", fields=()):
    method = "POST" if kind == "confirm-booking" else "GET"
    head = "%s /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: %s\r\nReq-Kind: %s\r\n" % (
        method, request_id, kind)
    head += "Req-Owner: %s\r\nReq-Deadline: %dm\r\n" % (owner, deadline_ms)
    if method == "POST" or body_bytes:
        head += "Content-Length: %d\r\n" % body_bytes
    head += "".join("%s: %s\r\n" % field for field in fields)
    return (head + "\r\n").encode()


async def listen(handler):
    """Listens on a free loopback port. `handler(reader, writer)` serves a connection. Returns the port."""

    async def serve(reader, writer):
        try:
            await handler(reader, writer)
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError, OSError, ValueError):
            pass  # the other side has closed or reset the connection, or the case has ended
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return server.sockets[0].getsockname()[1]


# --- Discovery

class Discovery:
    """The list of hosts, whole or as changes, with watches (GET /discovery/hosts?after=N&wait_ms=M)."""

    def __init__(self, record):
        self.record = record
        self.revision = 41
        self.members = {}
        self.changes = []  # (revision, id)
        self.changed = asyncio.Event()
        self.port = None

    async def start(self):
        self.port = await listen(self.serve)

    def put(self, host_id, port, phase="up", zone="kolonnawa", kind="standard", since=0):
        self.revision += 1
        self.members[host_id] = {"id": host_id, "host_port": "127.0.0.1:%d" % port, "locality": zone,
                                 "flavor": kind, "cell": 0, "phase": phase, "size": 1.0,
                                 "up_since_ms": since}
        self.changes.append((self.revision, host_id))
        self.changed.set()
        self.changed = asyncio.Event()

    def whole(self):
        members = [m for m in self.members.values() if m["phase"] != "removed"]
        return {"revision": self.revision, "complete": True, "members": members}

    async def serve(self, reader, writer):
        while True:
            line, _ = await read_head(reader)
            query = dict(re.findall(r"(\w+)=(\w+)", line.split(" ")[1]))
            if "after" not in query:
                answer = self.whole()
            else:
                after = int(query["after"])
                until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000.0
                while self.revision <= after and time.monotonic() < until:
                    try:
                        await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                    except asyncio.TimeoutError:
                        pass
                names = {h for r, h in self.changes if r > after}
                answer = {"revision": self.revision, "complete": False,
                          "members": [self.members[h] for h in sorted(names)]}
            writer.write(response(200, json.dumps(answer).encode()))
            await writer.drain()


# --- Gateway

def run_command():
    text = open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8").read()
    return re.search(r'^run = "(.*)"', text, re.M).group(1)


class Gateway:
    """One gateway process, started with `run` of the deploy file."""

    def __init__(self, record, discovery, name="n0", gateways=1, index=0, folder=None):
        self.record = record
        self.name = name
        self.port = free_port()
        self.folder = folder or tempfile.mkdtemp(prefix="review-")
        self.owns_folder = folder is None
        self.config = os.path.join(self.folder, name + ".json")
        self.log = os.path.join(self.folder, name + ".log")
        self.discovery = discovery
        listen = "127.0.0.1:%d" % self.port
        self.config_json = {
            "name": name, "listen": listen, "discovery": "127.0.0.1:%d" % discovery.port,
            "seed": "8c1f30d27a5be96%d" % index,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peers": [], "known": discovery.whole(), "settings": settings(gateways, index)}
        with open(self.config, "w", encoding="utf-8") as file:
            json.dump(self.config_json, file)
        self.process = None

    async def start(self):
        env = {"PATH": os.environ.get("PATH", "/usr/bin:/bin"), "NODE_NAME": self.name,
               "NODE_LISTEN": "127.0.0.1:%d" % self.port,
               "NODE_DISCOVERY": "127.0.0.1:%d" % self.discovery.port, "NODE_CONFIG": self.config,
               "TMPDIR": self.folder}
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run_command(), cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL,
            stdout=open(self.log, "ab"), stderr=asyncio.subprocess.STDOUT)
        for _ in range(200):
            if self.process.returncode is not None:
                raise CouldNotRun("the gateway ended at its start: " + open(self.log).read()[-500:])
            try:
                if (await self.up()) == 200:
                    self.record("gateway %s answers GET /up with 200" % self.name)
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise CouldNotRun("the gateway did not become ready: " + open(self.log).read()[-500:])

    async def up(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            writer.write(b"GET /up HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
            line, _ = await read_head(reader)
            return int(line.split(" ")[1])
        finally:
            writer.close()

    def signal(self, number):
        self.record("%s to gateway %s" % (signal.Signals(number).name, self.name))
        self.process.send_signal(number)

    async def stop(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        if self.owns_folder:
            shutil.rmtree(self.folder, ignore_errors=True)


# --- Running a case

def main(record_path, case, limit_s=110):
    """Runs `case(record)`, which returns a list of breaks of the rule. Exit code: 1 broken, 0 held, 2 not run."""
    record = Record(record_path)
    record("TROUBLE=%d" % TROUBLE)
    try:
        breaks = asyncio.run(asyncio.wait_for(case(record), limit_s))
    except Exception as error:  # pylint: disable=broad-except
        record("could not run: %r" % (error,))
        print("could not run: %r" % (error,), file=sys.stderr)
        sys.exit(2)
    for text in breaks:
        record("BROKEN: " + text)
    record("result: %s" % ("the rule was broken %d times" % len(breaks) if breaks else "the rule held"))
    name = os.path.basename(os.path.dirname(os.path.abspath(record_path)))
    print("%s: %s" % (name, "broken, %d times" % len(breaks) if breaks else "held"))
    sys.exit(1 if breaks else 0)
