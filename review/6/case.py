"""Clients that send hundreds of commands at once, by hundreds of connections, against the limit on memory."""

import asyncio
import os
import signal
import sys
import time

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
from review import *  # noqa: E402,F403

MEMORY_MB = 32
SOCKETS = 1024
BAD_CLIENTS = 330  # 341, a third of the descriptors, is what clients with requests may hold
WAVE = 15
WAVE_EVERY = 0.1
COMMANDS = 600
COMMAND_BYTES = 1024
USUAL_CLIENTS = 10
WATCHED = 8.0
VIEW_WAIT_MS, RUN_WAIT_MS = 1_200, 8_000
RUN_WORK = 1.4


def private_memory(pid):
    """Private memory of a process in KiB: without the pages of files, such as the program's own."""
    with open(f"/proc/{pid}/status") as file:
        for line in file:
            if line.startswith("RssAnon"):
                return int(line.split()[1])
    raise CannotRun("the kernel does not tell a process's private memory")


async def bad_client(case, address, number):
    """Sends hundreds of commands at once, a request first and last, and reads all that it is sent."""
    name = f"bad {number}"
    try:
        reader, writer = await asyncio.open_connection(*address.rsplit(":", 1))
    except OSError as cause:
        case.record.add(f"{name} could not connect: {cause}")
        return
    first, last = new_id(), new_id()
    command = message(b"Q", b"SET application_name = '".ljust(COMMAND_BYTES, b"x") + b"'\0")
    writer.write(
        STARTUP
        + message(b"Q", select(first, "account-" + first, VIEW_WAIT_MS).encode() + b"\0")
        + command * COMMANDS
        + message(b"Q", select(last, "account-" + last, RUN_WAIT_MS, "run").encode() + b"\0")
    )
    case.record.add(f"{name} sent id={first}, {COMMANDS} commands of {len(command)} bytes, id={last}")
    answered = 0
    try:
        while answered < COMMANDS + 3:  # the startup message is answered as well
            answered += (await read_message(reader))[0] == b"Z"
    except (asyncio.IncompleteReadError, ConnectionError) as cause:
        case.record.add(f"{name} connection ended: {type(cause).__name__}")
    case.record.add(f"{name} got {answered} answers")
    writer.close()


async def usual_client(case, address, until, counts):
    while time.monotonic() < until:
        client = Client(case.record, "usual")
        try:
            await client.connect(address)
            while time.monotonic() < until:
                request = new_id()
                client.send(select(request, "account-" + request, VIEW_WAIT_MS))
                answer = await client.answer()
                case.record.add(f"usual client got id={request} {answer}")
                counts[answer.kind] = counts.get(answer.kind, 0) + 1
                await asyncio.sleep(0.1)
        except (asyncio.IncompleteReadError, OSError):
            counts["connection ended"] = counts.get("connection ended", 0) + 1
            await asyncio.sleep(0.2)
        finally:
            client.close()


async def body(case):
    record = case.record
    hosts = [
        await Host(record, f"s-{n}", "primary" if n == 0 else "standby", work={"view": 0.05, "run": RUN_WORK}).start(
            case.network, 1
        )
        for n in range(5)
    ]
    members = [entry(host.name, host, host.role) for host in hosts]
    discovery = await Discovery(record, 41, members).start(case.network, 2)
    config = case.config(
        "n1", discovery, discovery.whole(), settings([VIEW, RUN, POST]), memory_mb=MEMORY_MB, sockets=SOCKETS
    )
    gateway = Gateway(case, "n1", config).start()
    await gateway.until_ready()
    until, counts = time.monotonic() + WATCHED, {}
    tasks = [asyncio.create_task(usual_client(case, config["listen"], until, counts)) for _ in range(USUAL_CLIENTS)]
    bad, next_wave, highest, killed = 0, time.monotonic() + 1, 0, None
    while time.monotonic() < until and killed is None:
        if gateway.exit_code() is not None:
            raise CannotRun(f"the gateway ended with {gateway.exit_code()}")
        if TROUBLE and bad < BAD_CLIENTS and time.monotonic() >= next_wave:
            next_wave += WAVE_EVERY
            tasks += [asyncio.create_task(bad_client(case, config["listen"], bad + n)) for n in range(WAVE)]
            bad += WAVE
        memory = private_memory(gateway.process.pid)
        if memory > highest:
            highest = memory
            record.add(f"private memory {memory} KiB, {bad} bad clients so far")
        if memory > MEMORY_MB * 1024:
            record.say(f"platform kills the gateway: {memory} KiB of {MEMORY_MB * 1024} KiB, {bad} bad clients")
            gateway.signal(signal.SIGKILL)
            killed = memory
        await asyncio.sleep(0.02)
    record.say(f"highest private memory {highest} KiB; usual clients: {counts}")
    for task in tasks:
        task.cancel()
    return f"the gateway needed {killed} KiB, over its limit of {MEMORY_MB * 1024} KiB, and was killed" if killed else None


play(os.path.dirname(os.path.abspath(__file__)), body)
