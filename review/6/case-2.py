"""Some hosts' answers are followed by a second answer some milliseconds late. No client may get it."""

import os
import random
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import stand_ins as s  # noqa: E402

HOSTS = 6
CLIENTS = 12
SECONDS = 20
SPOILT_SHARE = 0.05  # of the answers
LATE_S = (0.002, 0.008)
KINDS = ["slot-search"] * 5 + ["address-check"] * 2 + ["booking-status"] * 2 + ["confirm-booking"]


class SpoilingHost(s.Host):
    def work(self, sock, first, fields, body):
        request_id = fields.get("req-id")
        time.sleep(random.uniform(0.01, 0.05))
        answer = s.answer_bytes(200, self.answer(fields, body))
        self.record.add("%s answers %s" % (self.name, request_id))
        sock.sendall(answer)
        if s.TROUBLE and random.random() < SPOILT_SHARE:
            threading.Timer(random.uniform(*LATE_S), self.answer_again, (sock, request_id, answer)).start()

    def answer_again(self, sock, request_id, answer):
        self.record.add("%s sends the answer to %s a second time" % (self.name, request_id))
        try:
            sock.sendall(answer)
        except OSError:
            pass


def client(number, gateway, record, until, results):
    rng = random.Random(number)
    reader = None
    count = 0
    while time.monotonic() < until:
        count += 1
        request_id = "%02d%06d" % (number, count)
        kind = rng.choice(KINDS)
        deadline = {"slot-search": 600, "address-check": 1800, "booking-status": 700}.get(kind, 1800)
        if reader is None:
            reader = s.Reader(s.connect(gateway.listen, 2))
        body = b"book" if kind == "confirm-booking" else None
        head = s.request_head(request_id, kind, deadline, length=len(body) if body else None)
        record.add("client sends %s %s" % (request_id, kind))
        try:
            reader.sock.sendall(head + (body or b""))
        except OSError:
            pass
        answer = s.read_answer(reader, deadline / 1000 + 1)
        record.add("client gets for %s: %s" % (request_id, answer))
        results.append((request_id, kind, answer))
        if answer.status is None or answer.fields.get("connection", "").lower() == "close":
            reader.sock.close()
            reader = None
        time.sleep(rng.uniform(0.01, 0.1))


def run(record, folder, started):
    discovery = s.Discovery(record)
    hosts = [SpoilingHost("h%d" % i, record) for i in range(HOSTS)]
    for host in hosts:
        discovery.add(discovery.entry(host.name, host.address))
    gateway = s.Gateway(record, folder, discovery, s.site_settings())
    started.append(gateway)
    gateway.wait_ready()
    results = []
    until = time.monotonic() + SECONDS
    threads = [threading.Thread(target=client, args=(i, gateway, record, until, results)) for i in range(CLIENTS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    served = [r for r in results if r[2].status == 200]
    record.add("%d requests, %d served" % (len(results), len(served)))
    if len(served) < len(results) / 2:
        raise s.CannotRun("too few requests were served")
    return ["%s (%s) was served with %r, which no host made for it" % (request_id, kind, answer.body)
            for request_id, kind, answer in served if not answer.body.endswith(b" ran " + request_id.encode())]


s.play(__file__, run)
