"""Stand-ins and tools that the cases of the second review share.

Starts the project's gateway with the `run` command of deploy/balancer.toml, and plays discovery, hosts and
clients on loopback addresses, as PROTOCOL-elderhead.md describes them. Uses Python's standard library only.
"""

import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played, so it says nothing about the rule."""


class Record:
    """The events of a run, one line each. Times are in seconds since the start of the run."""

    def __init__(self, path):
        self.started_at = time.monotonic()
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.started_at

    def add(self, text):
        with self._lock:
            self._file.write("%9.4f %s\n" % (self.now(), text))
            self._file.flush()


class Reader:
    """Reads HTTP messages from a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def fill(self):
        data = self.sock.recv(65536)
        if not data:
            raise EOFError
        self.buffer += data

    def line_head(self):
        while b"\r\n\r\n" not in self.buffer:
            self.fill()
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        fields = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
        return lines[0], fields

    def exactly(self, count):
        while len(self.buffer) < count:
            self.fill()
        data, self.buffer = self.buffer[:count], self.buffer[count:]
        return data

    def body(self, fields, until_end=False):
        if fields.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while True:
                while b"\r\n" not in self.buffer:
                    self.fill()
                size, self.buffer = self.buffer.split(b"\r\n", 1)
                count = int(size.split(b";")[0], 16)
                if count == 0:
                    while self.exactly(2) != b"\r\n":
                        pass
                    return body
                body += self.exactly(count)
                self.exactly(2)
        if "content-length" in fields:
            return self.exactly(int(fields["content-length"]))
        if not until_end:
            return b""
        try:
            while True:
                self.fill()
        except EOFError:
            body, self.buffer = self.buffer, b""
            return body


class Server:
    """Accepts connections on a free loopback port and serves each one in a thread."""

    def __init__(self):
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(256)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.connections = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.append(sock)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock):
        try:
            self.serve(sock)
        except (OSError, EOFError, ValueError):
            pass
        try:
            sock.close()
        except OSError:
            pass

    def serve(self, sock):
        raise NotImplementedError


def answer_bytes(status, body, fields=()):
    lines = ["HTTP/1.1 %d X" % status, "Content-Length: %d" % len(body)]
    lines += ["%s: %s" % field for field in fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Discovery(Server):
    """Discovery: the whole list, and watches on changes. Changes are told when they are made."""

    def __init__(self, record):
        self.record = record
        self.state = {"revision": 41}  # shared with the service at another address
        self.members = {}
        self.changed_at = {}
        self.condition = threading.Condition()
        super().__init__()

    @property
    def revision(self):
        return self.state["revision"]

    def entry(self, host_id, address, phase="up", zone="kolonnawa", flavor="standard", up_since_ms=0):
        return {"id": host_id, "host_port": address, "locality": zone, "flavor": flavor, "cell": 0,
                "phase": phase, "size": 1.0, "up_since_ms": up_since_ms}

    def add(self, member):
        self.members[member["id"]] = member
        self.changed_at[member["id"]] = self.revision

    def change(self, member):
        with self.condition:
            self.state["revision"] += 1
            self.members[member["id"]] = member
            self.changed_at[member["id"]] = self.revision
            self.record.add("discovery revision %d: %s %s" % (self.revision, member["id"], member["phase"]))
            self.condition.notify_all()

    def move(self):
        """Moves discovery to a new address, and returns what listens there. The members are shared. The old address
        takes no new connections from now on, and its open ones close after 1.5 s (TERMS, "Reload")."""
        moved = Discovery.__new__(Discovery)
        moved.__dict__.update(self.__dict__)
        Server.__init__(moved)
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.record.add("discovery moves from %s to %s" % (self.address, moved.address))
        threading.Timer(1.5, self.close_connections).start()
        return moved

    def close_connections(self):
        for sock in self.connections:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def whole(self):
        listed = [m for m in self.members.values() if m["phase"] != "removed"]
        return {"revision": self.revision, "complete": True, "members": listed}

    def serve(self, sock):
        reader = Reader(sock)
        while True:
            first, _ = reader.line_head()
            match = re.search(r"after=(-?\d+)", first)
            if not match:
                with self.condition:
                    answer = self.whole()
            else:
                after = int(match.group(1))
                wait = re.search(r"wait_ms=(\d+)", first)
                until = time.monotonic() + min(60.0, int(wait.group(1)) / 1000.0 if wait else 0)
                with self.condition:
                    while self.revision <= after and time.monotonic() < until:
                        self.condition.wait(max(0.001, until - time.monotonic()))
                    changed = [m for i, m in self.members.items() if self.changed_at[i] > after]
                    answer = {"revision": max(self.revision, after), "complete": False, "members": changed}
            sock.sendall(answer_bytes(200, json.dumps(answer).encode(), [("Content-Type", "application/json")]))


class Host(Server):
    """A sound host. A case overrides `work` to play a disruption."""

    def __init__(self, name, record, work_s=0.03):
        self.name = name
        self.record = record
        self.work_s = work_s
        super().__init__()

    def answer(self, fields, body):
        return ("%s ran %s" % (self.name, fields.get("req-id", ""))).encode()

    def serve(self, sock):
        reader = Reader(sock)
        while True:
            first, fields = reader.line_head()
            body = reader.body(fields)
            request_id = fields.get("req-id", "")
            self.record.add("%s begins %s %s deadline %s" %
                            (self.name, request_id, fields.get("req-kind"), fields.get("req-deadline")))
            self.work(sock, first, fields, body)

    def work(self, sock, first, fields, body):
        time.sleep(self.work_s)
        self.record.add("%s answers %s" % (self.name, fields.get("req-id")))
        sock.sendall(answer_bytes(200, self.answer(fields, body)))


CLASSES = [
    # name, wanted within, deadline, worth, late worth, effect
    ("slot-search", 500.0, 1000.0, 3.0, 0.5, "pure"),
    ("address-check", 600.0, 3000.0, 1.0, 0.5, "pure"),
    ("booking-status", 400.0, 1200.0, 1.0, 0.3, "pure"),
    ("confirm-booking", 1000.0, 3000.0, 8.0, 0.2, "side_effect"),
]


def site_settings(classes=CLASSES, gateways=3, index=0):
    """The settings of colombo-booking, as the wire page shows them."""
    return {
        "azs": ["kolonnawa", "rajagiriya", "ratmalana"], "zone": "kolonnawa", "family": "proxy",
        "categories": [{"name": n, "sloMs": slo, "deadlineMs": deadline, "importance": worth, "lateWorth": late,
                        "idempotency": effect, "group": "all", "repeatWindowMs": 5000.0, "streamed": False}
                       for n, slo, deadline, worth, late, effect in classes],
        "projects": [{"name": "islandnet", "quotaPerS": 200.0, "share": 0.5},
                     {"name": "coastlink", "quotaPerS": 200.0, "share": 0.5}],
        "clientHabits": {"marksRetry": True}, "countedBy": "request", "familyInfo": {"warmKeys": False},
        "limits": {"cancelling": True, "connIdleMs": 30000.0, "cpuUsPerRequest": 0.0, "cpuUsPerS": 800000,
                   "dialTimeoutMs": 200.0, "maxAttempts": 3, "maxOpen": 20000, "maxRetryAfterMs": 2000.0,
                   "mayProbe": True, "mayTell": True, "multiplex": 1, "parallelTries": True, "retryAfter": True},
        "machineTypes": ["new-fast", "standard", "old-slow"], "membershipMode": "ask", "overShareWorth": 0.1,
        "peersTotal": gateways, "selfIndex": index, "report": {"fields": [], "source": "none"},
        "rules": {"askWithinMs": 10000.0, "coldFrom": 0.12, "coldMs": 24000.0, "drainGraceMs": 500.0,
                  "fallMs": 3000.0, "fallMultiple": 2.5, "graceToAnswerMs": 20.0},
        "tickMs": 5.0, "tier": 0, "tiers": ["booking-web"], "weights": "rough",
    }


def free_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return "127.0.0.1:%d" % sock.getsockname()[1]


def run_command():
    """The `run` command of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        match = re.search(r'^run\s*=\s*"([^"]*)"', file.read(), re.MULTILINE)
    if not match:
        raise CannotRun("deploy/balancer.toml has no run command")
    return match.group(1)


class Gateway:
    def __init__(self, record, folder, discovery, settings, management=True, memory_mb=192, sockets=1024,
                 name="n0", listen=None, tmpdir=None, environment_discovery=None, known=None):
        self.record = record
        self.listen = listen or free_address()
        self.management = free_address() if management else None
        self.tmpdir = tmpdir or tempfile.mkdtemp(dir=folder)
        self.config_path = os.path.join(tempfile.mkdtemp(dir=folder), "config.json")
        self.log_path = os.path.join(folder, "gateway-%s-%d.log" % (name, time.monotonic_ns()))
        self.config = {
            "name": name, "listen": self.listen, "discovery": discovery.address, "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "peer_listen": free_address(), "peers": [], "known": known or discovery.whole(), "settings": settings}
        if self.management:
            self.config["mgmt"] = self.management
        self.write_config()
        environment = {k: v for k, v in os.environ.items() if not k.startswith(("NODE_", "ELDERHEAD_"))}
        environment.update(NODE_NAME=name, NODE_LISTEN=self.listen, NODE_DISCOVERY=environment_discovery or discovery.address,
                           NODE_CONFIG=self.config_path, TMPDIR=self.tmpdir)
        if self.management:
            environment["NODE_MGMT"] = self.management
        self.log = open(self.log_path, "wb")
        self.process = subprocess.Popen(["/bin/sh", "-c", run_command()], cwd=ROOT, env=environment,
                                        stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        record.add("gateway %s started at %s" % (name, self.listen))

    def write_config(self):
        with open(self.config_path + ".new", "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        os.replace(self.config_path + ".new", self.config_path)

    def wait_ready(self, within_s=10):
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            if self.process.poll() is not None:
                raise CannotRun("the gateway ended with %s" % self.process.returncode)
            try:
                with connect(self.listen, 1) as sock:
                    sock.sendall(b"GET /up HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
                    first, _ = Reader(sock).line_head()
                    if " 200 " in first + " ":
                        self.record.add("gateway is ready")
                        return
            except (OSError, EOFError):
                pass
            time.sleep(0.02)
        raise CannotRun("the gateway is not ready")

    def call(self, command):
        """One call at the operators' address."""
        with connect(self.management, 2) as sock:
            sock.sendall(command.encode() + b"\n")
            answer = sock.recv(4096).decode("latin-1")
        self.record.add("operator calls %s: %s" % (command, answer.split("\n")[0]))
        return answer

    def signal(self, number):
        self.record.add("signal %s" % signal.Signals(number).name)
        self.process.send_signal(number)

    def end(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


def connect(address, timeout_s):
    host, port = address.rsplit(":", 1)
    sock = socket.create_connection((host, int(port)), timeout_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def request_head(request_id, kind, deadline_ms, tenant="islandnet", length=None, extra=()):
    method = "POST" if length is not None else "GET"
    lines = ["%s /api HTTP/1.1" % method, "Host: backend.local", "Req-Id: %s" % request_id,
             "Req-Kind: %s" % kind, "Req-Owner: %s" % tenant, "Req-Deadline: %dm" % deadline_ms]
    if length is not None:
        lines.append("Content-Length: %d" % length)
    lines += list(extra)
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class Answer:
    """What came back: a status and a body, or `status` None with the way in which the connection ended."""

    def __init__(self, status, body=b"", fields=None, end=""):
        self.status, self.body, self.fields, self.end = status, body, fields or {}, end

    def __str__(self):
        return "%s %r" % (self.status, self.body[:60]) if self.status else "no answer (%s)" % self.end


def read_answer(reader, timeout_s):
    """Reads one answer. Waits for each part of it for `timeout_s`."""
    reader.sock.settimeout(timeout_s)
    try:
        first, fields = reader.line_head()
        return Answer(int(first.split()[1]), reader.body(fields, until_end=True), fields)
    except socket.timeout:
        return Answer(None, end="silence")
    except EOFError:
        return Answer(None, end="closed")
    except OSError as error:
        return Answer(None, end=error.__class__.__name__)


def play(record_path, run):
    """Runs `run(record, folder, started)`, which returns a list of broken rules, and exits with the result.

    Writes what happens to the file at `record_path`. `started` is a list to which `run` appends each process that
    it starts.
    """
    folder = tempfile.mkdtemp(prefix="review-")
    record = Record(record_path)
    record.add("TROUBLE=%d" % TROUBLE)
    started = []
    result = NOT_RUN
    try:
        broken = run(record, folder, started)
        for text in broken:
            record.add("BROKEN: " + text)
        record.add("%d breaks" % len(broken))
        result = BROKEN if broken else HELD
    except CannotRun as error:
        record.add("could not run: %s" % error)
    except Exception as error:  # a fault of the script is no result
        record.add("could not run: %s: %s" % (error.__class__.__name__, error))
        import traceback
        traceback.print_exc()
    finally:
        for gateway in started:
            gateway.end()
        for gateway in started:
            with open(gateway.log_path, "rb") as log:
                for line in log.read().decode("utf-8", "replace").splitlines()[-40:]:
                    record.add("log: " + line)
        shutil.rmtree(folder, ignore_errors=True)
    print({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "could not run"}[result])
    sys.stdout.flush()
    os._exit(result)
