"""Clients that send much at once, read what they get and close: are their requests sent on afterwards?

The end of such a connection waits in the client's kernel behind bytes that the gateway does not read. Uses the
stand-ins of review/standins-2. Exits with 1 if a request reached the host later than 150 ms after its client's
close, with 0 if none did, with 2 if it could not run.
"""

import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "review", "standins-2"))
from review import *  # noqa: E402,F403

CLIENTS, WAVE, REQUESTS = 90, 15, 40
LATEST_ATTEMPT = 0.15


async def leave(address, name, statements, closed):
    _reader, writer = await asyncio.open_connection(*address.rsplit(":", 1))
    writer.write(statements)
    await asyncio.sleep(0.1)
    writer.transport.abort()
    await asyncio.sleep(0)
    closed[name] = time.monotonic()


async def crowd(address, path):
    """The clients, in a process of their own so that they do not delay the host."""
    closed, tasks = {}, []
    for client in range(CLIENTS):
        name = f"left-{client}"
        ids = [f"{name}-{request}" for request in range(REQUESTS)]
        queries = [message(b"Q", insert(id, "row", "9f" * 10_000, id, 5_000).encode() + b"\0") for id in ids]
        tasks.append(asyncio.create_task(leave(address, name, STARTUP + b"".join(queries), closed)))
        if client % WAVE == WAVE - 1:
            await asyncio.sleep(0.1)
    await asyncio.gather(*tasks)
    with open(path, "w") as file:
        json.dump(closed, file)


async def body(case):
    host = await Host(case.record, "s-0", work={"post": 0.4}).start(case.network, 1)
    discovery = await Discovery(case.record, 41, [entry("s-0", host, "primary")]).start(case.network, 2)
    deployment = settings([VIEW, RUN, POST])
    config = case.config("n1", discovery, discovery.whole(), deployment, memory_mb=32, sockets=1024)
    await Gateway(case, "n1", config).start().until_ready()
    path = os.path.join(case.folder, "closed.json")
    process = await asyncio.create_subprocess_exec(sys.executable, "-B", __file__, config["listen"], path)
    await process.wait()
    await asyncio.sleep(2)
    with open(path) as file:
        closed = json.load(file)
    received = [(at, fields["id"].rsplit("-", 1)[0]) for at, fields in host.received]
    late = [at - closed[name] for at, name in received if at > closed[name] + LATEST_ATTEMPT]
    case.record.say(f"{len(received)} requests sent on, {len(late)} late, by {max(late, default=0):.3f} s at most")
    return f"{len(late)} requests were sent on late" if late else None


if len(sys.argv) == 3:
    asyncio.run(crowd(sys.argv[1], sys.argv[2]))
else:
    play(tempfile.mkdtemp(prefix="closed-clients-"), body)
