"""Replaces a gateway process with a new process under load.

tests/replace_between_builds.sh describes the checks.

The script emulates three hosts and a discovery service. The configuration names no host, and discovery sends
its list to the old process only. So the new process becomes ready only if the old process transfers the list.
One host fails every request, so the old process ejects that host. At its start the new process ejects that
host only if the old process transfers the learned state.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass, field

LOAD_SECONDS = 10.0
REPLACE_AFTER_SECONDS = 4.0
READY_TIMEOUT_SECONDS = 6.0
EXIT_TIMEOUT_SECONDS = 3.7
RESPONSE_TIMEOUT_SECONDS = 6.0
DISCOVERY_CALLS_SECONDS = 0.5  # how long calls to discovery are recorded once the new process is ready
PERSISTENT_CLIENTS = 20  # clients that send all requests on one connection
ONE_SHOT_CLIENTS = 5  # clients that open a new connection for each request
REQUEST_INTERVAL_SECONDS = 0.1
REQUESTS_PER_SLOW_REQUEST = 20  # one in 20 requests takes SLOW_SECONDS at the host
SLOW_SECONDS = 0.4
FAST_SECONDS = 0.01
FAILING_HOST = "h2"
HOSTS = ("h0", "h1", FAILING_HOST)
LIST_REVISION = 42
LISTEN_STATE = "0A"  # the code of the LISTEN state in /proc/net/tcp


@dataclass
class Message:
    """An HTTP/1.1 message; the keys of `fields` are the lower-case names of the header fields."""

    first_line: str
    fields: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Returns the next message, or None if the connection closes before the first byte of a message.

    Raises ConnectionError if the connection closes before the end of a message.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("the connection closed before the end of the header") from error
        return None
    first_line, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.lower()] = value.strip()
    length = int(fields.get("content-length", "0"))
    try:
        body = await reader.readexactly(length)
    except asyncio.IncompleteReadError as error:
        raise ConnectionError("the connection closed before the end of the body") from error
    return Message(first_line, fields, body)


def response(status: int, body: bytes) -> bytes:
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


class Host:
    """An upstream server of the gateway; counts the attempts that it receives for each request."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.attempts: Counter[str] = Counter()
        self.port = 0

    async def start(self) -> asyncio.Server:
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return server

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_message(reader)) is not None:
                request_id = request.fields["req-id"]
                self.attempts[request_id] += 1
                if self.name == FAILING_HOST:
                    writer.write(response(500, b""))
                    continue
                slow = int(request_id.rpartition("-")[2]) % REQUESTS_PER_SLOW_REQUEST == 0
                await asyncio.sleep(SLOW_SECONDS if slow else FAST_SECONDS)
                writer.write(response(200, request_id.encode()))
        writer.close()

    def list_member(self) -> dict[str, object]:
        """Returns the entry of this host in the list that discovery sends."""
        return {
            "id": self.name,
            "host_port": f"127.0.0.1:{self.port}",
            "locality": "a",
            "flavor": "m",
            "cell": 0,
            "phase": "up",
            "size": 1.0,
            "up_since_ms": 0,
        }


class Discovery:
    """A discovery service that sends the list of hosts.

    Once `silent` is set, it records the calls that it receives and does not respond to them.
    """

    def __init__(self, hosts: list[Host]) -> None:
        self.hosts = hosts
        self.silent = False
        self.calls_when_silent: list[str] = []
        self.port = 0

    async def start(self) -> asyncio.Server:
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return server

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_message(reader)) is not None:
                if self.silent:
                    self.calls_when_silent.append(request.first_line)
                elif f"after={LIST_REVISION}" not in request.first_line:
                    members = [host.list_member() for host in self.hosts]
                    host_list = {
                        "revision": LIST_REVISION,
                        "complete": True,
                        "members": members,
                    }
                    writer.write(response(200, json.dumps(host_list).encode()))
        writer.close()


def settings() -> dict[str, object]:
    def request_class(name: str, idempotency: str) -> dict[str, object]:
        return {
            "name": name,
            "sloMs": 2000.0,
            "deadlineMs": 3000.0,
            "importance": 1.0,
            "idempotency": idempotency,
            "lateWorth": 0.0,
        }

    return {
        "categories": [
            request_class("view", "pure"),
            request_class("pay", "side_effect"),
        ],
        "membershipMode": "watch",
        "limits": {
            "maxAttempts": 4,
            "dialTimeoutMs": 1000.0,
            "connIdleMs": 60000.0,
            "cancelling": True,
            "retryAfter": True,
            "maxRetryAfterMs": 2000.0,
        },
        "report": {"fields": [], "source": "answers"},
        "zone": "a",
    }


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class NotReady(Exception):
    """Raised if a process is not ready within READY_TIMEOUT_SECONDS."""


class Gateway:
    """A gateway process, its log file and its management port."""

    def __init__(self, program: str, name: str, folder: str, config: str) -> None:
        self.program = program
        self.management = free_port()
        self.log_path = os.path.join(folder, name + ".log")
        self.environment = {
            "NODE_NAME": "n1",
            "NODE_CONFIG": config,
            "NODE_MGMT": f"127.0.0.1:{self.management}",
            "TMPDIR": folder,
        }

    async def start(self) -> None:
        with open(self.log_path, "wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                self.program, env=self.environment, stdout=log, stderr=log
            )

    async def call(self, command: str) -> str:
        """Returns the response to a management command, or an empty string if the call fails or times out."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.management)
            writer.write(command.encode() + b"\n")
            answer = await asyncio.wait_for(reader.read(1 << 20), 2)
            writer.close()
            return answer.decode()
        except (OSError, asyncio.TimeoutError):
            return ""

    async def wait_until_ready(self) -> float:
        """Waits until the process is ready to serve clients, and returns the waiting time in seconds.

        Raises NotReady on timeout.
        """
        started_at = time.monotonic()
        while time.monotonic() - started_at < READY_TIMEOUT_SECONDS:
            if (await self.call("check")).startswith("SUCCESS"):
                return time.monotonic() - started_at
            await asyncio.sleep(0.02)
        raise NotReady(f"{self.program} is not ready within {READY_TIMEOUT_SECONDS} s")

    async def vars(self) -> dict[str, object]:
        answer = await self.call("vars")
        parsed: dict[str, object] = json.loads(answer[answer.index("{") :].split("\n")[0])
        return parsed

    def log(self) -> list[str]:
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            return log.read().splitlines()

    def kill(self) -> None:
        if self.process.returncode is None:
            self.process.kill()


def listening_inodes(port: int) -> set[str]:
    """Returns the inodes of the sockets that listen on 127.0.0.1:port."""
    inodes = set()
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in table.readlines()[1:]:
            columns = line.split()
            if columns[1] == f"0100007F:{port:04X}" and columns[3] == LISTEN_STATE:
                inodes.add(columns[9])
    return inodes


def has_socket_open(pid: int, inode: str) -> bool:
    """Returns whether the process has a file descriptor of the socket."""
    folder = f"/proc/{pid}/fd"
    for descriptor in os.listdir(folder):
        with contextlib.suppress(OSError):
            if os.readlink(os.path.join(folder, descriptor)) == f"socket:[{inode}]":
                return True
    return False


@dataclass
class Load:
    """Runs the clients of the gateway and counts the results of their requests."""

    port: int
    sent: int = 0
    statuses: Counter[int] = field(default_factory=Counter)
    closes_between_requests: int = 0
    errors: list[str] = field(default_factory=list)

    def next_request(self) -> tuple[str, bytes]:
        self.sent += 1
        request_id = f"r-{self.sent}"
        is_payment = self.sent % 10 == 0
        head = f"{'POST' if is_payment else 'GET'} /api HTTP/1.1\r\nHost: backend.local\r\n"
        head += (
            f"Req-Id: {request_id}\r\nReq-Kind: {'pay' if is_payment else 'view'}\r\nReq-Deadline: 3000m\r\n"
        )
        head += "Content-Length: 0\r\n\r\n" if is_payment else "\r\n"
        return request_id, head.encode()

    async def exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Sends a request and waits for its response. Returns whether the connection can be reused."""
        request_id, text = self.next_request()
        try:
            writer.write(text)
            answer = await asyncio.wait_for(read_message(reader), RESPONSE_TIMEOUT_SECONDS)
            if answer is None:
                raise ConnectionError("the connection closed before the response")
        except (OSError, asyncio.TimeoutError) as error:
            self.errors.append(f"{request_id}: {error!r}")
            return False
        status = int(answer.first_line.split()[1])
        self.statuses[status] += 1
        if status == 200 and answer.body != request_id.encode():
            self.errors.append(
                f"{request_id}: expected the request ID as the body of the response, got {answer.body!r}"
            )
        return answer.fields.get("connection", "").lower() != "close"

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        try:
            return await asyncio.open_connection("127.0.0.1", self.port)
        except OSError as error:
            self.errors.append(f"can't connect to port {self.port}: {error!r}")
            return None

    async def run_persistent_client(self, until: float) -> None:
        connection = None
        while time.monotonic() < until:
            if connection is not None and connection[0].at_eof():
                self.closes_between_requests += 1
                connection[1].close()
                connection = None
            if connection is None:
                connection = await self.connect()
            if connection is not None and not await self.exchange(*connection):
                connection[1].close()
                connection = None
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
        if connection is not None:
            connection[1].close()

    async def run_one_shot_client(self, until: float) -> None:
        while time.monotonic() < until:
            connection = await self.connect()
            if connection is not None:
                await self.exchange(*connection)
                connection[1].close()
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)

    async def run(self) -> None:
        until = time.monotonic() + LOAD_SECONDS
        clients = [self.run_persistent_client(until) for _ in range(PERSISTENT_CLIENTS)]
        clients += [self.run_one_shot_client(until) for _ in range(ONE_SHOT_CLIENTS)]
        await asyncio.gather(*clients)


def check(failures: list[str], passed: bool, description: str) -> None:
    print(("ok     " if passed else "WRONG  ") + description)
    if not passed:
        failures.append(description)


async def replace(old: Gateway, new: Gateway, port: int, discovery: Discovery, failures: list[str]) -> None:
    """Starts the new process while the old one runs, then terminates the old one."""
    old_vars = await old.vars()
    check(
        failures,
        old_vars["pool_ejected"] == 1,
        f"hosts that the old process has ejected: {old_vars['pool_ejected']}, expected 1",
    )
    discovery.silent = True
    await new.start()
    ready_after = await new.wait_until_ready()
    new_vars = await new.vars()
    print(f"       the new process was ready after {ready_after:.2f} s")
    sockets = listening_inodes(port)
    shared = len(sockets) == 1 and all(
        has_socket_open(gateway.process.pid, inode) for gateway in (old, new) for inode in sockets
    )
    check(
        failures,
        shared,
        f"both processes share the only listener of port {port}, so the listener was transferred",
    )
    check(
        failures,
        new_vars["pool_size"] == len(HOSTS),
        f"hosts in the list transferred to the new process: {new_vars['pool_size']}, expected {len(HOSTS)}",
    )
    check(
        failures,
        new_vars["pool_ejected"] == 1,
        f"hosts ejected at the start of the new process by the transferred learned state: "
        f"{new_vars['pool_ejected']}, expected 1",
    )
    await asyncio.sleep(DISCOVERY_CALLS_SECONDS)
    calls = discovery.calls_when_silent
    check(
        failures,
        bool(calls) and all(f"after={LIST_REVISION}" in line for line in calls),
        f"after the start of the new process every call to discovery requests changes after "
        f"revision {LIST_REVISION} ({len(calls)} calls)",
    )
    old.process.send_signal(signal.SIGTERM)
    terminated_at = time.monotonic()
    try:
        code = await asyncio.wait_for(old.process.wait(), EXIT_TIMEOUT_SECONDS)
        exit_seconds = time.monotonic() - terminated_at
        check(
            failures,
            code == 0,
            f"exit code of the old process, {exit_seconds:.2f} s after SIGTERM: {code}, expected 0",
        )
    except asyncio.TimeoutError:
        check(failures, False, f"the old process exits within {EXIT_TIMEOUT_SECONDS} s after SIGTERM")


def report(load: Load, hosts: list[Host], failures: list[str]) -> None:
    responses = sum(load.statuses.values())
    statuses = ", ".join(f"{n} with status {status}" for status, n in sorted(load.statuses.items()))
    print(f"       {load.sent} requests sent, {responses} responses: {statuses}")
    print(f"       {load.closes_between_requests} connections closed by the gateway between requests")
    attempts: Counter[str] = Counter()
    for host in hosts:
        attempts.update(host.attempts)
        print(f"       {sum(host.attempts.values())} attempts at {host.name}")
    repeated_payments = [
        request_id
        for request_id, n in attempts.items()
        if n > 1 and int(request_id.rpartition("-")[2]) % 10 == 0
    ]
    check(
        failures,
        not repeated_payments,
        f"payments sent to hosts more than once: {len(repeated_payments)}, expected 0",
    )
    for error in load.errors[:10]:
        print("       " + error)
    check(failures, not load.errors, f"connection errors and wrong responses: {len(load.errors)}, expected 0")
    check(
        failures,
        responses == load.sent,
        f"requests without a final response: {load.sent - responses}, expected 0",
    )


async def run_test(old_program: str, new_program: str, folder: str) -> list[str]:
    hosts = [Host(name) for name in HOSTS]
    servers = [await host.start() for host in hosts]
    discovery = Discovery(hosts)
    servers.append(await discovery.start())
    port = free_port()
    config = os.path.join(folder, "config.json")
    with open(config, "w", encoding="utf-8") as file:
        json.dump(
            {
                "listen": f"127.0.0.1:{port}",
                "discovery": f"127.0.0.1:{discovery.port}",
                "seed": "1f",
                "known": {"revision": 0, "complete": True, "members": []},
                "settings": settings(),
            },
            file,
        )
    failures: list[str] = []
    old = Gateway(old_program, "old", folder, config)
    new = Gateway(new_program, "new", folder, config)
    load = Load(port)
    started: list[Gateway] = []
    try:
        await old.start()
        started.append(old)
        await old.wait_until_ready()
        clients = asyncio.create_task(load.run())
        await asyncio.sleep(REPLACE_AFTER_SECONDS)
        started.append(new)
        await replace(old, new, port, discovery, failures)
        await clients
        check(failures, new.process.returncode is None, "the new process still runs at the end of the load")
        report(load, hosts, failures)
    except NotReady as error:
        check(failures, False, str(error))
    finally:
        log_texts = (
            "replaces a running process",
            "a successor process has connected",
            "can't listen for a hot restart",
            # Texts of earlier versions of the program.
            "replaces a process",
            "a process that replaces",
            "nothing can be handed over",
        )
        for gateway in started:
            for line in gateway.log():
                if any(text in line for text in log_texts):
                    print(f"       log of {os.path.basename(gateway.log_path)}: {line}")
        for gateway in started:
            with contextlib.suppress(AttributeError, ProcessLookupError):
                gateway.kill()
                await gateway.process.wait()
        for server in servers:
            server.close()
    return failures


def main() -> int:
    old_program, new_program = (os.path.abspath(path) for path in sys.argv[1:3])
    with tempfile.TemporaryDirectory(prefix="replace-") as folder:
        failures = asyncio.run(run_test(old_program, new_program, folder))
    print("all checks passed" if not failures else f"{len(failures)} checks failed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
