"""An operator drains the gateway while long answers are being written. At 4 s no connection may rest open."""

import os
import select
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import stand_ins as s  # noqa: E402

HOSTS = 3
BEFORE_S = 1.0  # the long requests begin this long before the drain
ENDS_S = [3.78, 3.84, 3.90, 3.93]  # their answers end this long after the drain began
GO_ON = [False, False, True, True]  # whether the client sends its next request at once
BOOKING_S = 0.2  # what a host takes for that request
PIECE = 4096
BYTES_PER_S = 64000  # "a body at 64 kB a second"
LIMIT_S = 4.0 + 0.05  # "At 4 s"; "Every time limit is 50 ms longer."


class LongHost(s.Host):
    def work(self, sock, first, fields, body):
        if not fields.get("req-id", "").startswith("long"):
            self.work_s = BOOKING_S
            return super().work(sock, first, fields, body)
        seconds = float(fields["x-seconds"])
        length = int(seconds * BYTES_PER_S)
        began = time.monotonic()
        sock.sendall(("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length).encode())
        sent = 0
        while sent < length:
            piece = min(PIECE, length - sent)
            time.sleep(max(0, began + (sent + piece) / BYTES_PER_S - time.monotonic()))
            sock.sendall(b"l" * piece)
            sent += piece
        self.record.add("%s has sent the whole answer to %s" % (self.name, fields["req-id"]))


class Client:
    def __init__(self, request_id, gateway, record):
        self.id, self.gateway, self.record = request_id, gateway, record
        self.answer = self.next_answer = None
        self.next_at = None  # since when a further request is open

    def run(self, seconds, goes_on):
        self.sock = s.connect(self.gateway.listen, 2)
        reader = s.Reader(self.sock)
        self.sock.sendall(s.request_head(self.id, "address-check", 2000, extra=["X-Seconds: %.3f" % seconds]))
        self.answer = s.read_answer(reader, 5)
        self.ended_at = self.record.now()
        self.record.add("client has %s whole: %s, %d bytes, Connection: %s" %
                        (self.id, self.answer.status, len(self.answer.body), self.answer.fields.get("connection")))
        if goes_on:
            self.sock.sendall(s.request_head("next-" + self.id, "confirm-booking", 2000, length=0))
            self.next_at = self.record.now()
            self.next_answer = s.read_answer(reader, 3)
            self.record.add("client gets for next-%s: %s" % (self.id, self.next_answer))
            self.next_at = None

    def is_open(self):
        readable, _, _ = select.select([self.sock], [], [], 0)
        return not readable  # nothing is owed on it, so what can be read is its end


def run(record, folder, started):
    discovery = s.Discovery(record)
    for i in range(HOSTS):
        host = LongHost("h%d" % i, record)
        discovery.add(discovery.entry(host.name, host.address))
    gateway = s.Gateway(record, folder, discovery, s.site_settings(gateways=1))
    started.append(gateway)
    gateway.wait_ready()
    begin = time.monotonic()
    clients = [Client("long%d" % i, gateway, record) for i in range(len(ENDS_S))]
    threads = [threading.Thread(target=c.run, args=(BEFORE_S + end, goes_on))
               for c, end, goes_on in zip(clients, ENDS_S, GO_ON)]
    for thread in threads:
        thread.start()
    time.sleep(max(0, begin + BEFORE_S - time.monotonic()))
    drained_at = time.monotonic()
    if s.TROUBLE and not gateway.call("drain-on").startswith("SUCCESS"):
        raise s.CannotRun("the gateway does not drain")
    time.sleep(max(0, drained_at + LIMIT_S - time.monotonic()))
    broken = []
    for client in clients:
        whole = client.answer is not None and client.answer.status == 200
        next_at = client.next_at
        if whole and next_at is not None:
            age_s = record.now() - next_at
            record.add("%.3f s after the drain: next-%s is open" % (time.monotonic() - drained_at, client.id))
            if s.TROUBLE:
                broken.append("the connection of %s is held with a request that is %.2f s old" % (client.id, age_s))
            continue
        is_open = whole and client.is_open()
        record.add("%.3f s after the drain: %s whole=%s open=%s" %
                   (time.monotonic() - drained_at, client.id, whole, is_open))
        if s.TROUBLE and is_open:
            idle_ms = (record.now() - client.ended_at) * 1000
            broken.append("the connection of %s is held idle 4 s after the drain began, since %.0f ms" %
                          (client.id, idle_ms))
    for thread in threads:
        thread.join()
    if any(c.answer.status != 200 for c in clients):
        raise s.CannotRun("a long answer was not served")
    until = time.monotonic() + 1.5
    while s.TROUBLE and time.monotonic() < until and any(c.is_open() for c in clients):
        time.sleep(0.01)
    record.add("%.3f s after the drain: open %s" %
               (time.monotonic() - drained_at, [c.id for c in clients if c.is_open()]))
    return broken


s.play(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"), run)
