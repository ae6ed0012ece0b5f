"""A planned restart (SIGTERM) while hosts give long answers: the gateway must not cut off what they still give."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import harness as h

HOSTS = 4
CLIENTS = 8
PIECE = 16000
PIECES = 40         # 640,000 bytes, with a Content-Length
# The pause between two pieces, of even and odd requests: 6.0 s and 4.6 s for the whole answer (107 and 139 kB a
# second). It would end 5.0 s and 3.6 s after SIGTERM.
PIECE_EVERY_S = (0.15, 0.115)
TERM_AFTER_S = 1.0
KILL_AFTER_TERM_S = 10.0  # the pages: not before the longest deadline (3 s) and 0.7 s more


async def case(record):
    discovery = h.Discovery(record)
    await discovery.start()

    async def host(name, reader, writer):
        while True:
            _, fields = await h.read_head(reader)
            await h.read_body(reader, fields)
            request_id = fields["req-id"]
            record("%s begins its answer to %s" % (name, request_id))
            start = asyncio.get_running_loop().time()
            try:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (PIECE * PIECES))
                for piece in range(PIECES):
                    due = start + (piece + 1) * PIECE_EVERY_S[int(request_id) % 2]
                    await asyncio.sleep(due - asyncio.get_running_loop().time())
                    writer.write(b"y" * PIECE)
                    await writer.drain()
            except OSError:
                record("%s: the gateway cut off the answer to %s" % (name, request_id))
                raise
            record("%s has given the whole answer to %s" % (name, request_id))

    for i in range(HOSTS):
        name = "s-%d" % i
        discovery.put(name, await h.listen(lambda r, w, name=name: host(name, r, w)))
    gateway = h.Gateway(record, discovery)
    breaks = []
    whole = 0

    async def client(number):
        nonlocal whole
        request_id = "%08d" % number
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        record("client sends address-check %s" % request_id)
        writer.write(h.request_head(request_id, "address-check", 3000))
        line, got, length = "no answer", 0, -1
        try:
            line, fields = await h.read_head(reader)
            length = int(fields["content-length"])
            while got < length:
                data = await reader.read(65536)
                if not data:
                    break
                got += len(data)
        except (asyncio.IncompleteReadError, OSError) as error:
            record("client: the connection of %s broke: %r" % (request_id, error))
        writer.close()
        record("client has '%s' and %d of %d bytes for %s" % (line, got, length, request_id))
        if got == length:
            whole += 1
        else:
            breaks.append("%s: '%s', then the gateway ended the connection after %d of %d bytes" % (
                request_id, line, got, length))

    async def restart():
        await asyncio.sleep(TERM_AFTER_S)
        if not h.TROUBLE:
            return
        gateway.signal(signal.SIGTERM)
        try:
            code = await asyncio.wait_for(gateway.process.wait(), KILL_AFTER_TERM_S)
            record("the gateway ended by itself with code %d" % code)
        except asyncio.TimeoutError:
            gateway.signal(signal.SIGKILL)

    try:
        await gateway.start()
        await asyncio.gather(restart(), *[client(i) for i in range(CLIENTS)])
    finally:
        await gateway.stop()
    record("answers that came whole: %d of %d" % (whole, CLIENTS))
    return breaks


h.main(sys.argv[1], case)  # record.txt in this folder, see run.sh
