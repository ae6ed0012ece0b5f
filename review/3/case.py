"""Half of the hosts hang while bookings with a long body are sent: each has to get its final answer in time."""
import asyncio
import os
import socket
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import harness as h

HOSTS = 4
HUNG = 2
SIZES = (5000000, 6000000, 7000000)  # bytes of body; the pages allow up to 32 MB
ROUNDS = 4
DEADLINE_S = 3.0
LATE_S = 0.5    # up to half a second after its time an answer only earns nothing
WAIT_S = 12.0   # the client stays, to see when the answer comes


async def case(record):
    discovery = h.Discovery(record)
    await discovery.start()

    async def host(number, reader, writer):
        while True:
            _, fields = await h.read_head(reader)
            request_id = fields["req-id"]
            if h.TROUBLE and number < HUNG:
                record("s-%d hangs with %s" % (number, request_id))
                writer.transport.pause_reading()
                await asyncio.sleep(3600)
            await h.read_body(reader, fields)
            record("s-%d ran %s" % (number, request_id))
            await asyncio.sleep(0.05)
            writer.write(h.response(200, b"answer to " + request_id.encode()))

    for i in range(HOSTS):
        discovery.put("s-%d" % i, await h.listen(lambda r, w, i=i: host(i, r, w)))
    gateway = h.Gateway(record, discovery)
    breaks = []
    taken = 0

    async def client(request_id, size):
        nonlocal taken
        loop = asyncio.get_running_loop()
        client_socket = socket.create_connection(("127.0.0.1", gateway.port))
        client_socket.setblocking(False)
        line, written = "nothing", None
        try:
            data = h.request_head(request_id, "confirm-booking", int(DEADLINE_S * 1000), size)
            record("client sends confirm-booking %s with %d bytes of body" % (request_id, size))
            await asyncio.wait_for(loop.sock_sendall(client_socket, data + b"x" * size), WAIT_S)
            written = time.monotonic()
            record("client has written the last byte of %s" % request_id)
            taken += 1
            answer = b""
            while b"\r\n\r\n" not in answer and time.monotonic() < written + WAIT_S:
                part = await asyncio.wait_for(loop.sock_recv(client_socket, 65536),
                                              written + WAIT_S - time.monotonic())
                if not part:
                    break
                answer += part
            line = answer.split(b"\r\n")[0].decode("latin-1") or "a close"
        except (OSError, asyncio.TimeoutError) as error:
            record("client: %s: %r" % (request_id, error))
            if written is None:
                return  # the last byte was never written, so the request was not taken
        finally:
            client_socket.close()
        after = time.monotonic() - written
        record("client gets '%s' for %s %.3f s after its last byte" % (line, request_id, after))
        if line in ("nothing", "a close") and after <= DEADLINE_S + LATE_S:
            breaks.append("%s got %s instead of an answer %.3f s after its last byte" % (request_id, line, after))
        if after > DEADLINE_S + LATE_S:
            breaks.append("%s got '%s' %.3f s after its last byte; it waits for %.1f s" % (
                request_id, line, after, DEADLINE_S))

    try:
        await gateway.start()
        for number in range(ROUNDS):
            await asyncio.gather(*[client("%02d%06d" % (number, i), size) for i, size in enumerate(SIZES)])
    finally:
        await gateway.stop()
    if not taken:
        raise h.CouldNotRun("no request could be written whole")
    return breaks


h.main(sys.argv[1], case)  # record.txt in this folder, see run.sh
