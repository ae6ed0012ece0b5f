"""A planned restart (SIGTERM) while clients write bodies at the rate that the pages allow. Deadlines are short."""

import os
import random
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common-2"))
import stand_ins as s  # noqa: E402

HOSTS = 4
GATEWAYS = 3
DEADLINE_MS = 750
# A quarter of the site's deadlines and aims.
CLASSES = [(n, slo / 4, deadline / 4, worth, late, effect) for n, slo, deadline, worth, late, effect in s.CLASSES]
BYTES_PER_S = 65536  # "a body at 64 kB a second"
WORK_S = {"confirm-booking": 0.15}  # a mean piece of its work on an old, slow machine; 0.03 for other classes
CLOSE_CROSSES_S = 0.05  # the slack of every time limit: a close this soon after the last byte may have crossed it


class Client:
    def __init__(self, number, gateway, record):
        self.id = "u%02d" % number
        self.gateway = gateway
        self.record = record
        self.answer = None
        self.written_at = None
        self.ended_at = None
        # "New connections go on coming for 0.2 to 0.4 s." The upload ends 1.13 to 1.19 s after SIGTERM, and the
        # body is under the 64 KiB of the protocol page.
        self.begin_after = random.uniform(0.25, 0.3)
        self.length = int((random.uniform(1.13, 1.19) - self.begin_after) * BYTES_PER_S)

    def run(self):
        time.sleep(self.begin_after)
        try:
            reader = s.Reader(s.connect(self.gateway.listen, 2))
            reader.sock.sendall(s.request_head(self.id, "confirm-booking", DEADLINE_MS, length=self.length))
            began = time.monotonic()
            sent = 0
            while sent < self.length:
                piece = min(4096, self.length - sent)
                time.sleep(max(0, began + (sent + piece) / BYTES_PER_S - time.monotonic()))
                reader.sock.sendall(b"b" * piece)
                sent += piece
            self.written_at = self.record.now()
            self.record.add("client wrote the last byte of %s (%d bytes)" % (self.id, self.length))
        except OSError as error:
            self.record.add("client could not write %s: %s" % (self.id, error))
            return
        self.answer = s.read_answer(reader, DEADLINE_MS / 1000 + 0.5)
        self.ended_at = self.record.now()
        self.record.add("client gets for %s: %s" % (self.id, self.answer))


class CountingHost(s.Host):
    begun = set()

    def work(self, sock, first, fields, body):
        self.begun.add(fields.get("req-id"))
        self.work_s = WORK_S.get(fields.get("req-kind"), 0.03)
        super().work(sock, first, fields, body)


def warm_up(gateway):
    reader = s.Reader(s.connect(gateway.listen, 2))
    for i in range(10):
        reader.sock.sendall(s.request_head("%s-w%02d" % (gateway.config["name"], i), "address-check", DEADLINE_MS))
        if s.read_answer(reader, 2).status != 200:
            raise s.CannotRun("the gateway does not serve")
    reader.sock.close()


def run(record, folder, started):
    discovery = s.Discovery(record)
    hosts = [CountingHost("h%d" % i, record) for i in range(HOSTS)]
    for host in hosts:
        discovery.add(discovery.entry(host.name, host.address))
    for i in range(GATEWAYS):
        started.append(s.Gateway(record, folder, discovery, s.site_settings(CLASSES, GATEWAYS, i), name="n%d" % i))
    for gateway in started:
        gateway.wait_ready()
        warm_up(gateway)
    clients = [Client(i, gateway, record) for i, gateway in enumerate(started)]
    for gateway, client in zip(started, clients):
        if s.TROUBLE:
            gateway.signal(signal.SIGTERM)
        client.thread = threading.Thread(target=client.run)
        client.thread.start()
    for gateway, client in zip(started, clients):
        client.thread.join()
        if s.TROUBLE:
            gateway.process.wait(timeout=4)
            record.add("gateway %s ended with %s" % (gateway.config["name"], gateway.process.returncode))
    broken = []
    for client in clients:
        if client.written_at is None or client.answer.status is not None:
            continue
        waited = client.ended_at - client.written_at
        if waited > CLOSE_CROSSES_S and client.id in CountingHost.begun:
            broken.append("%s was whole and a host ran it; %.0f ms later: %s" %
                          (client.id, waited * 1000, client.answer))
    answered = sum(1 for c in clients if c.answer and c.answer.status)
    record.add("%d of %d clients have an answer" % (answered, len(clients)))
    return broken


s.play(os.path.join(os.path.dirname(os.path.abspath(__file__)), "record.txt"), run)
