"""Stand-ins for the second review: database hosts, discovery, clients and the platform.

They follow the protocol and deployment pages. All addresses are loopback addresses, all times are those of
the real clock. Standard library only.
"""

import asyncio
import ctypes
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not run; it says nothing about the rule."""


# ---------------------------------------------------------------------------------------------- the record


class Record:
    """Writes what was sent, answered and run to record.txt, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.file.write(f"{self.now():9.4f} {text}\n")

    def say(self, text):
        self.add(text)
        print(text, flush=True)


# --------------------------------------------------------------------------------------------- wire format


def message(kind, body):
    return kind + struct.pack("!I", len(body) + 4) + body


def parameter(name, value):
    return message(b"S", name.encode() + b"\0" + str(value).encode() + b"\0")


def error(code, text, severity="ERROR"):
    fields = b"S" + severity.encode() + b"\0V" + severity.encode() + b"\0C" + code.encode() + b"\0M" + text.encode()
    return message(b"E", fields + b"\0\0")


def row_head(length):
    """RowDescription, and the DataRow of one binary column up to its value."""
    description = struct.pack("!H", 1) + b"content\0" + struct.pack("!IHIhih", 0, 0, 17, -1, -1, 1)
    return message(b"T", description) + b"D" + struct.pack("!IHI", length + 10, 1, length)


def command_complete(is_write):
    return message(b"C", (b"INSERT 0 1" if is_write else b"SELECT 1") + b"\0")


READY = message(b"Z", b"I")
STARTUP_BODY = struct.pack("!I", 3 << 16) + b"user\0backend\0database\0store\0\0"
STARTUP = struct.pack("!I", len(STARTUP_BODY) + 4) + STARTUP_BODY


async def read_startup(reader):
    (length,) = struct.unpack("!I", await reader.readexactly(4))
    return await reader.readexactly(length - 4)


async def read_message(reader):
    head = await reader.readexactly(5)
    (length,) = struct.unpack("!I", head[1:])
    return head[:1], await reader.readexactly(length - 4)


def fields_of(statement):
    """The names and values of a statement's comment, and its quoted key as `name`."""
    comment = statement[statement.rindex("/*") + 2 : statement.rindex("*/")].strip()
    fields = dict(pair.split("=", 1) for pair in comment.split(","))
    return dict(fields, name=statement.split("'", 2)[1])


# ---------------------------------------------------------------------------------------------- addresses


class Network:
    """A loopback network of this run, so that runs side by side do not meet."""

    def __init__(self):
        self.prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"

    def address(self, host):
        return f"{self.prefix}.{host}"

    def free_port(self, host, kind=socket.SOCK_STREAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            probe.bind((self.address(host), 0))
            return probe.getsockname()[1]


# ---------------------------------------------------------------------------------------- database hosts


class Host:
    """A database host: starts a query once its last byte has arrived, one query a connection at a time.

    `work` maps a class to seconds. `value` makes the value of a request. `plan` may write another answer:
    it is called with the host, the writer and the request's fields, and returns True if it has answered.
    """

    def __init__(self, record, name, role="primary", work=None, value=None, plan=None, key_window=5.0):
        self.record, self.name, self.role = record, name, role
        self.work, self.plan, self.key_window = work or {}, plan, key_window
        self.value = value or (lambda fields: fields["id"].encode())
        self.received, self.executed, self.keys = [], [], {}
        self.server = self.address = None

    async def start(self, network, host):
        self.server = await asyncio.start_server(self.serve, network.address(host), 0, limit=1 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self

    def state(self):
        """The messages that precede ReadyForQuery."""
        role = parameter("replication_role", self.role)
        return role + parameter("log_position", int(time.time() * 1000))

    async def serve(self, reader, writer):
        try:
            await read_startup(reader)
            writer.write(message(b"R", struct.pack("!I", 0)) + READY)
            while True:
                kind, body = await read_message(reader)
                if kind == b"X":
                    break
                await self.answer(writer, body.rstrip(b"\0").decode())
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, writer, statement):
        is_write = statement.lstrip().upper().startswith("INSERT")
        if "/*" not in statement:
            writer.write(message(b"I", b"") + READY if not statement.strip() else command_complete(False) + READY)
            return
        fields = fields_of(statement)
        self.received.append((time.monotonic(), fields))
        self.record.add(f"host {self.name} received id={fields['id']} c={fields['c']} d={fields['d']}")
        if is_write and self.role != "primary":
            writer.write(error("25006", "not the primary") + self.state() + READY)
            return
        await asyncio.sleep(self.work.get(fields["c"], 0.01))
        key, now = fields.get("k"), time.monotonic()
        if not is_write or now - self.keys.get(key, -self.key_window) >= self.key_window:
            self.executed.append((now, fields))
            self.record.add(f"host {self.name} ran id={fields['id']}" + (f" k={key}" if key else ""))
            if is_write:
                self.keys[key] = now
        if self.plan and await self.plan(self, writer, fields):
            return
        value = self.value(fields)
        writer.write(row_head(len(value)) + value + command_complete(is_write) + self.state() + READY)
        await writer.drain()


# ---------------------------------------------------------------------------------------------- discovery


def entry(name, host, role, phase="up", up_since_ms=0, cell=2):
    return {
        "id": name,
        "host_port": host.address,
        "locality": "a",
        "flavor": "std",
        "cell": cell,
        "phase": phase,
        "size": 1.0,
        "up_since_ms": up_since_ms,
        "replication": role,
    }


class Discovery:
    """The host register's agent: the whole list, and a watch with one JSON object a line."""

    def __init__(self, record, revision, members):
        self.record, self.revision = record, revision
        self.members = {member["id"]: member for member in members}
        self.changes, self.watches = [], []
        self.server = self.address = None

    async def start(self, network, host):
        self.server = await asyncio.start_server(self.serve, network.address(host), 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self

    def whole(self):
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            target = head.split(" ", 2)[1]
            query = dict(pair.split("=", 1) for pair in target.partition("?")[2].split("&") if pair)
            self.record.add(f"discovery asked {target}")
            if "watch" not in query:
                text = json.dumps(self.whole()).encode() + b"\n"
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(text) + text)
                await writer.drain()
                return
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            if "after" in query:
                for change in self.changes:
                    if change["revision"] > int(query["after"]):
                        self.write_line(writer, change)
            else:
                self.write_line(writer, self.whole())
            self.watches.append(writer)
            while not writer.is_closing():
                self.write_text(writer, b"\n")
                await asyncio.sleep(2)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            if writer in self.watches:
                self.watches.remove(writer)
            writer.close()

    def write_text(self, writer, text):
        writer.write(b"%x\r\n%s\r\n" % (len(text), text))

    def write_line(self, writer, value):
        self.write_text(writer, json.dumps(value).encode() + b"\n")

    async def leave(self, after):
        """Takes no new connection, and closes the open ones after this time."""
        self.server.close()
        self.record.add("discovery takes no new connection")
        await asyncio.sleep(after)
        for writer in list(self.watches):
            writer.close()
        self.record.add("discovery closed its connections")

    def change(self, member):
        """Writes a changed entry to all watches. Returns when it was written."""
        self.revision += 1
        self.members[member["id"]] = member
        line = {"revision": self.revision, "complete": False, "members": [member]}
        self.changes.append(line)
        for writer in self.watches:
            self.write_line(writer, line)
        self.record.add(f"discovery wrote {json.dumps(line)} to {len(self.watches)} watches")
        return time.monotonic()


# ------------------------------------------------------------------------------------------------- clients


class Answer:
    """One answer: `kind` is served, refused, failed, empty or complete."""

    def __init__(self, kind, value=b"", code="", text=""):
        self.kind, self.value, self.code, self.text = kind, value, code, text

    def __str__(self):
        return f"{self.kind} {self.code} {self.text}".strip()


class Client:
    """A client's connection to a gateway."""

    def __init__(self, record, name):
        self.record, self.name = record, name
        self.reader = self.writer = None

    async def connect(self, address, with_startup=True):
        host, port = address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 23)
        if with_startup:
            self.writer.write(STARTUP)
            while (await read_message(self.reader))[0] != b"Z":
                pass
        return self

    def send(self, statement):
        self.writer.write(message(b"Q", statement.encode() + b"\0"))

    async def answer(self):
        """The next answer, up to ReadyForQuery. Fails if the connection ends first."""
        answer = Answer("complete")
        while True:
            kind, body = await read_message(self.reader)
            if kind == b"D":
                answer = Answer("served", body[6:])
            elif kind == b"I":
                answer = Answer("empty")
            elif kind == b"E":
                fields = {part[:1]: part[1:].decode() for part in body.split(b"\0") if part}
                code = fields[b"C"]
                answer = Answer("refused" if code in ("53300", "57P03") else "failed", b"", code, fields[b"M"])
            elif kind == b"Z":
                return answer

    def close(self):
        if self.writer:
            self.writer.close()


def new_id():
    return "%016x" % random.getrandbits(64)


def select(request, name, wait_ms, klass="view", cluster=2):
    return f"SELECT content FROM kv WHERE name = '{name}' /* id={request},c={klass},d={wait_ms},cluster={cluster} */"


def insert(request, name, value, key, wait_ms, klass="post", cluster=2):
    return (
        f"INSERT INTO kv (name, content) VALUES ('{name}', '\\x{value}') RETURNING content "
        f"/* id={request},c={klass},d={wait_ms},k={key},cluster={cluster} */"
    )


# ------------------------------------------------------------------------------------------------ platform

MILLISECOND, SECOND = 1_000, 1_000_000


def klass(name, aim, deadline, points, late_share, window=None):
    """A class of requests; times in microseconds."""
    result = {
        "name": name,
        "aim_us": aim,
        "deadline_us": deadline,
        "points": points,
        "late_share": late_share,
        "window_us": window or 5 * SECOND,
        "stream": False,
        "group": "cell" if window else "all",
        "idempotency": "keyed" if window else "safe",
    }
    return result


# The classes of a small deployment, with their read levels and bounds.
VIEW = (klass("view", 500 * MILLISECOND, 1_200 * MILLISECOND, 2.0, 0.2), "eventual", 0)
RUN = (klass("run", 4 * SECOND, 8 * SECOND, 6.0, 0.0), "eventual", 0)
POST = (klass("post", 500 * MILLISECOND, 5 * SECOND, 4.0, 0.5, window=5 * SECOND), "mutate", 0)


def settings(classes, balancers=1, number=0, **bounds):
    return {
        "balancers": balancers,
        "my_number": number,
        "bounds": {
            "attempts_cap": 8,
            "cancel": True,
            "conn_idle_us": 30 * SECOND,
            "connect_timeout_us": 250 * MILLISECOND,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 80_000,
            "max_open": 20_000,
            "max_retry_after_us": 500 * MILLISECOND,
            "peers": True,
            "probes": False,
            "retry_after": True,
            "second_copies": False,
            "streams_per_conn": 1,
            **bounds,
        },
        "classes": [group[0] for group in classes],
        "family": "replicas",
        "family_info": {
            "catch_up_wait_us": 0,
            "origin_time_us": 0,
            "read_level": [group[1] for group in classes],
            "session_marks": "kept",
            "shows_role": "trailing",
            "staleness_bound_us": [group[2] for group in classes],
            "stamps": True,
            "waits_for_copy": False,
            "when_behind": "bounce",
        },
        "flavors": ["std"],
        "granularity_us": 5 * MILLISECOND,
        "membership_mode": "pushed",
        "obligations": {
            "answer_slack_us": 20 * MILLISECOND,
            "ask_every_us": 10 * SECOND,
            "cold_from": 0.24,
            "cold_us": 16 * SECOND,
            "drain_grace_us": 2 * SECOND,
            "fall_us": SECOND,
            "overload_factor": 4.0,
        },
        "reporting": {"names": [], "source": "off"},
        "zone": "a",
        "zones": ["a"],
    }


def run_command():
    """The command of the deploy file that starts one gateway."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        for line in file:
            if line.startswith("run = "):
                return json.loads(line[len("run = ") :])
    raise CannotRun("the deploy file has no run command")


ACCEPT_FD = 3  # the descriptor as which a process inherits the clients' listening socket


PR_SET_PDEATHSIG = 1


def signal_on_parent_death(number):
    """Asks the kernel to send this process a signal when the one that started it ends."""
    try:
        ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, number)
    except (OSError, AttributeError):
        pass


class Gateway:
    """One process of the gateway, started with the command of the deploy file."""

    def __init__(self, case, name, config, extra_env=None, listener=None, folder=None):
        self.case, self.name, self.config = case, name, config
        self.extra_env, self.listener = dict(extra_env or {}), listener
        if listener:
            self.extra_env["GW_ACCEPT_FD"] = str(ACCEPT_FD)
        self.folder = folder or tempfile.mkdtemp(dir=case.folder)
        self.path = os.path.join(case.folder, f"{name}.json")
        self.log_path = os.path.join(case.folder, f"{name}.log")
        self.process = None

    def write_config(self):
        temporary = self.path + ".new"
        with open(temporary, "w") as file:
            json.dump(self.config, file)
        os.replace(temporary, self.path)

    def start(self):
        self.write_config()
        env = dict(os.environ, GW_CONFIG=self.path, GW_NAME=self.config["name"], TMPDIR=self.folder)
        env.update(GW_LISTEN=self.config["listen"], GW_DISCOVERY=self.config["discovery"], **self.extra_env)
        self.log = open(self.log_path, "ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run_command()],
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
            pass_fds=(ACCEPT_FD,) if self.listener else (),
            preexec_fn=self.prepare_process,
        )
        self.case.processes.append(self.process)
        self.case.record.add(f"platform started {self.name} pid={self.process.pid}")
        return self

    def prepare_process(self):
        signal_on_parent_death(signal.SIGKILL)
        if self.listener:
            os.dup2(self.listener.fileno(), ACCEPT_FD)

    def signal(self, number):
        self.case.record.add(f"platform sent {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    def exit_code(self):
        return self.process.poll()

    def log_text(self):
        with open(self.log_path, "rb") as file:
            return file.read().decode(errors="replace")

    async def until_ready(self, limit=10.0):
        """Waits until the gateway has answered an empty query, as the front does."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if self.exit_code() is not None:
                raise CannotRun(f"{self.name} ended with {self.exit_code()}: {self.log_text()[-500:]}")
            client = Client(self.case.record, "front")
            try:
                await client.connect(self.config["listen"])
                client.send("")
                if (await client.answer()).kind == "empty":
                    self.case.record.add(f"{self.name} is ready")
                    return self
            except (ConnectionError, asyncio.IncompleteReadError):
                pass
            finally:
                client.close()
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready after {limit} s")


async def ops_call(address, call, limit=1.0):
    """One call at the second address. Returns its answer."""
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(call.encode() + b"\n")
        return (await asyncio.wait_for(reader.readline(), limit)).decode().strip()
    finally:
        writer.close()


class Case:
    """One run of a case: its network, its folder and its processes, all of which end with it."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.network = Network()
        self.processes = []

    def config(self, name, discovery, known, deployment, gateway_host=100, memory_mb=192, sockets=1024, **more):
        listen = f"{self.network.address(gateway_host)}:{self.network.free_port(gateway_host)}"
        return {
            "name": name,
            "listen": listen,
            "discovery": discovery.address,
            "seed": "%016x" % random.getrandbits(64),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": known,
            "settings": deployment,
            **more,
        }

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.add("all processes have ended")


def play(folder, body, limit=110.0):
    """Runs `body(case)` and exits with 1 if it returns what broke the rule, with 0 if it returns None."""
    case = Case(folder)

    def interrupted(*_):
        case.end()
        os._exit(NOT_RUN)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, interrupted)
    signal_on_parent_death(signal.SIGTERM)
    verdict = NOT_RUN
    try:
        broken = asyncio.run(asyncio.wait_for(body(case), limit))
        verdict = BROKEN if broken else HELD
        case.record.say(f"the rule was broken: {broken}" if broken else "the rule held")
    except (CannotRun, asyncio.TimeoutError, asyncio.IncompleteReadError, OSError) as cause:
        case.record.say(f"the case could not run: {type(cause).__name__}: {cause}")
    finally:
        case.end()
    sys.exit(verdict)
