"""Replaces a gateway process by another under load; tests/replace_between_builds.sh says what is checked.

Three hosts and a discovery service are played here. The configuration names no host and discovery tells its list to the
old process alone, so the new one becomes ready only with the list that was handed over. One host fails every request:
the old process stops using it, and the new one avoids it from its first moment only if it was handed what was learned.
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
READY_WITHIN_SECONDS = 6.0
END_WITHIN_SECONDS = 3.7
ANSWER_WITHIN_SECONDS = 6.0
SETTLE_SECONDS = 0.5
CONNECTED_CLIENTS = 20  # each with one connection that it keeps
ONE_SHOT_CLIENTS = 5  # each with a new connection for every request
REQUEST_INTERVAL_SECONDS = 0.1
SLOW_EVERY = 20  # one request in so many takes SLOW_SECONDS at the host
SLOW_SECONDS = 0.4
FAST_SECONDS = 0.01
FAILING_HOST = "h2"
HOSTS = ("h0", "h1", FAILING_HOST)
LIST_REVISION = 42
LISTENING = "0A"  # in /proc/net/tcp


@dataclass
class Message:
    """The first line, header fields by lower-case name, and body of an HTTP/1.1 message."""

    first_line: str
    fields: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Returns the next message; None at a close before its first byte. Raises on a close or reset within it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("closed within a message") from error
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
        raise ConnectionError("closed within a body") from error
    return Message(first_line, fields, body)


def response(status: int, body: bytes) -> bytes:
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


class Host:
    """A server behind the gateway; counts how often each request came."""

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
                slow = int(request_id.rpartition("-")[2]) % SLOW_EVERY == 0
                await asyncio.sleep(SLOW_SECONDS if slow else FAST_SECONDS)
                writer.write(response(200, request_id.encode()))
        writer.close()

    def entry(self) -> dict[str, object]:
        """The member of discovery's list."""
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
    """Tells the list until `silent`, then leaves every call without an answer; records what calls begin from."""

    def __init__(self, hosts: list[Host]) -> None:
        self.hosts = hosts
        self.silent = False
        self.asked_when_silent: list[str] = []
        self.port = 0

    async def start(self) -> asyncio.Server:
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return server

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_message(reader)) is not None:
                if self.silent:
                    self.asked_when_silent.append(request.first_line)
                elif f"after={LIST_REVISION}" not in request.first_line:
                    members = [host.entry() for host in self.hosts]
                    told = {
                        "revision": LIST_REVISION,
                        "complete": True,
                        "members": members,
                    }
                    writer.write(response(200, json.dumps(told).encode()))
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
    """A process does not take clients in time."""


class Gateway:
    """One gateway process."""

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

    async def call(self, word: str) -> str:
        """Returns the answer to a management call; empty if there is none."""
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.management)
            writer.write(word.encode() + b"\n")
            answer = await asyncio.wait_for(reader.read(1 << 20), 2)
            writer.close()
            return answer.decode()
        except (OSError, asyncio.TimeoutError):
            return ""

    async def ready(self) -> float:
        """Waits until the process takes clients; returns after how many seconds. Raises if it does not in time."""
        begun = time.monotonic()
        while time.monotonic() - begun < READY_WITHIN_SECONDS:
            if (await self.call("check")).startswith("SUCCESS"):
                return time.monotonic() - begun
            await asyncio.sleep(0.02)
        raise NotReady(f"{self.program} is not ready in {READY_WITHIN_SECONDS} s")

    async def figures(self) -> dict[str, object]:
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
    """The sockets that listen at the port of 127.0.0.1."""
    inodes = set()
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in table.readlines()[1:]:
            columns = line.split()
            if columns[1] == f"0100007F:{port:04X}" and columns[3] == LISTENING:
                inodes.add(columns[9])
    return inodes


def holds_socket(pid: int, inode: str) -> bool:
    folder = f"/proc/{pid}/fd"
    for descriptor in os.listdir(folder):
        with contextlib.suppress(OSError):
            if os.readlink(os.path.join(folder, descriptor)) == f"socket:[{inode}]":
                return True
    return False


@dataclass
class Load:
    """Clients of the gateway and what became of their requests."""

    port: int
    sent: int = 0
    statuses: Counter[int] = field(default_factory=Counter)
    clean_closes: int = 0
    errors: list[str] = field(default_factory=list)

    def next_request(self) -> tuple[str, bytes]:
        self.sent += 1
        request_id = f"r-{self.sent}"
        pays = self.sent % 10 == 0
        head = f"{'POST' if pays else 'GET'} /api HTTP/1.1\r\nHost: backend.local\r\n"
        head += f"Req-Id: {request_id}\r\nReq-Kind: {'pay' if pays else 'view'}\r\nReq-Deadline: 3000m\r\n"
        head += "Content-Length: 0\r\n\r\n" if pays else "\r\n"
        return request_id, head.encode()

    async def exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Sends a request and awaits its answer; returns whether the connection is still good."""
        request_id, text = self.next_request()
        try:
            writer.write(text)
            answer = await asyncio.wait_for(read_message(reader), ANSWER_WITHIN_SECONDS)
            if answer is None:
                raise ConnectionError("closed before the answer")
        except (OSError, asyncio.TimeoutError) as error:
            self.errors.append(f"{request_id}: {error!r}")
            return False
        status = int(answer.first_line.split()[1])
        self.statuses[status] += 1
        if status == 200 and answer.body != request_id.encode():
            self.errors.append(f"{request_id}: the answer of another: {answer.body!r}")
        return answer.fields.get("connection", "").lower() != "close"

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        try:
            return await asyncio.open_connection("127.0.0.1", self.port)
        except OSError as error:
            self.errors.append(f"no connection: {error!r}")
            return None

    async def keep_connection(self, until: float) -> None:
        connection = None
        while time.monotonic() < until:
            if connection is not None and connection[0].at_eof():
                self.clean_closes += 1
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

    async def connect_each_time(self, until: float) -> None:
        while time.monotonic() < until:
            connection = await self.connect()
            if connection is not None:
                await self.exchange(*connection)
                connection[1].close()
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)

    async def run(self) -> None:
        until = time.monotonic() + LOAD_SECONDS
        clients = [self.keep_connection(until) for _ in range(CONNECTED_CLIENTS)]
        clients += [self.connect_each_time(until) for _ in range(ONE_SHOT_CLIENTS)]
        await asyncio.gather(*clients)


def check(wrong: list[str], good: bool, what: str) -> None:
    print(("ok     " if good else "WRONG  ") + what)
    if not good:
        wrong.append(what)


async def replace(old: Gateway, new: Gateway, port: int, discovery: Discovery, wrong: list[str]) -> None:
    """Starts the new process beside the old one, then ends the old one."""
    before = await old.figures()
    check(
        wrong,
        before["pool_ejected"] == 1,
        f"the old process avoids {before['pool_ejected']} host, the failing one",
    )
    discovery.silent = True
    await new.start()
    took = await new.ready()
    figures = await new.figures()
    print(f"       the new process was ready after {took:.2f} s")
    sockets = listening_inodes(port)
    shared = len(sockets) == 1 and all(
        holds_socket(gateway.process.pid, inode) for gateway in (old, new) for inode in sockets
    )
    check(wrong, shared, "the listener was handed over: both hold the only one there is")
    check(
        wrong,
        figures["pool_size"] == len(HOSTS),
        f"the list was handed over: {figures['pool_size']} hosts at the new process",
    )
    check(
        wrong,
        figures["pool_ejected"] == 1,
        f"what was learned was handed over: {figures['pool_ejected']} host avoided at once",
    )
    await asyncio.sleep(SETTLE_SECONDS)
    asked = discovery.asked_when_silent
    check(
        wrong,
        bool(asked) and all(f"after={LIST_REVISION}" in line for line in asked),
        f"the new process watches from revision {LIST_REVISION} on ({len(asked)} calls)",
    )
    old.process.send_signal(signal.SIGTERM)
    begun = time.monotonic()
    try:
        code = await asyncio.wait_for(old.process.wait(), END_WITHIN_SECONDS)
        ended = f"after {time.monotonic() - begun:.2f} s with code {code}"
        check(wrong, code == 0, f"the old process ended {ended}")
    except asyncio.TimeoutError:
        check(wrong, False, f"the old process ended within {END_WITHIN_SECONDS} s")


def report(load: Load, hosts: list[Host], wrong: list[str]) -> None:
    answered = sum(load.statuses.values())
    statuses = ", ".join(f"{n} with {status}" for status, n in sorted(load.statuses.items()))
    print(f"       {load.sent} requests sent, {answered} answered: {statuses}")
    print(f"       {load.clean_closes} connections closed between requests")
    attempts: Counter[str] = Counter()
    for host in hosts:
        attempts.update(host.attempts)
        print(f"       {sum(host.attempts.values())} attempts at {host.name}")
    twice = [
        request_id
        for request_id, n in attempts.items()
        if n > 1 and int(request_id.rpartition("-")[2]) % 10 == 0
    ]
    check(wrong, not twice, f"no payment was sent twice ({len(twice)} were)")
    for error in load.errors[:10]:
        print("       " + error)
    check(wrong, not load.errors, f"connection errors and wrong answers: {len(load.errors)}")
    check(wrong, answered == load.sent, f"requests with no final answer: {load.sent - answered}")


async def play(old_program: str, new_program: str, folder: str) -> list[str]:
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
    wrong: list[str] = []
    old = Gateway(old_program, "old", folder, config)
    new = Gateway(new_program, "new", folder, config)
    load = Load(port)
    started: list[Gateway] = []
    try:
        await old.start()
        started.append(old)
        await old.ready()
        clients = asyncio.create_task(load.run())
        await asyncio.sleep(REPLACE_AFTER_SECONDS)
        started.append(new)
        await replace(old, new, port, discovery, wrong)
        await clients
        check(wrong, new.process.returncode is None, "the new process serves on")
        report(load, hosts, wrong)
    except NotReady as error:
        check(wrong, False, str(error))
    finally:
        words = ("replaces a process", "a process that replaces", "nothing can be handed over")
        for gateway in started:
            for line in gateway.log():
                if any(word in line for word in words):
                    print(f"       log of {os.path.basename(gateway.log_path)}: {line}")
        for gateway in started:
            with contextlib.suppress(AttributeError, ProcessLookupError):
                gateway.kill()
                await gateway.process.wait()
        for server in servers:
            server.close()
    return wrong


def main() -> int:
    old_program, new_program = (os.path.abspath(path) for path in sys.argv[1:3])
    with tempfile.TemporaryDirectory(prefix="replace-") as folder:
        wrong = asyncio.run(play(old_program, new_program, folder))
    print("all held" if not wrong else f"{len(wrong)} did not hold")
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
