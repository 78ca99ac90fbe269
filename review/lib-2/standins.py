"""Stand-ins for the cases of the second review: the platform's store, plain engines, clients, and the start of relays.

Everything listens on loopback addresses. Python's standard library only.
"""
import asyncio
import base64
import json
import os
import pathlib
import random
import re
import signal
import socket
import struct
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[2]
RELAY = ROOT / "target" / "parsley-relay"
# Bounds of the small deployments (SYSTEM.md).
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
          "configMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "strictRevoke": False, "revokeMs": 5000, "retryBudgetRatio": 0.2,
          "budgetWindowS": 10, "budgetSlack": 198, "recoverS": 12, "passMs": 120, "retryAfterS": 0, "stall_ms": 3000, "requireFence": False}
ZONE = "nl-west-a"
HISTORY = 20  # seconds for which the store keeps its history (historyS)


class Record:
    """Writes record.txt, one line an event, with the time since the start of the case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


def reserve_network():
    """Returns the prefix of free loopback addresses (127.a.b.) and the socket that reserves it."""
    for _ in range(100):
        prefix = f"127.{random.randrange(20, 220)}.{random.randrange(1, 250)}."
        guard = socket.socket()
        try:
            guard.bind((prefix + "250", 7999))
            return prefix, guard
        except OSError:
            guard.close()
    raise RuntimeError("no free loopback addresses")


def reset(writer):
    """Resets a connection: its peer gets an error and no orderly end."""
    one = writer.get_extra_info("socket")
    if one is not None:
        one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_head(reader):
    """Returns the first line and the fields of a message; None at the end of the connection."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = text.split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """Reads a body with a length or in chunks. Raises IncompleteReadError if it is cut."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
        return body
    return await reader.readexactly(int(fields.get("content-length", "0")))


class Store:
    """The platform's store: tables of versioned rows, transactions and feeds (PROTOCOL.md)."""

    def __init__(self):
        self.rows = {}  # (table, key) -> (version, value or None if it was removed)
        self.version = 0
        self.changes = []  # (time, version, table) of each change
        self.dropped = 0  # the history up to this version was discarded sooner than HISTORY
        self.changed = asyncio.Event()
        self.writers = set()

    async def start(self, host):
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def apply(self, puts=(), removals=()):
        """One transaction; its changes are acknowledged when this returns."""
        self.version += 1
        for table in {row[0] for row in [*puts, *removals]}:
            self.changes.append((time.monotonic(), self.version, table))
        for table, key, value in puts:
            self.rows[table, key] = (self.version, value)
        for table, key in removals:
            if self.rows.get((table, key), (0, None))[1] is not None:
                self.rows[table, key] = (self.version, None)
        self.changed.set()
        self.changed = asyncio.Event()

    def drop_history(self):
        """Discards the history of all changes so far, as the store may."""
        self.dropped = self.version

    def has_history(self, table, after):
        """Whether all changes of the table since `after` are still in the history."""
        oldest = time.monotonic() - HISTORY
        return not any(of == table and version > after and (at < oldest or version <= self.dropped) for at, version, of in self.changes)

    def listed(self, table, wanted):
        found = []
        for (row_table, key), (version, value) in self.rows.items():
            if row_table != table or not wanted(key, version, value):
                continue
            row = {"table": table, "part": "", "key": key, "schemaVersion": version}
            row.update({"deleted": True} if value is None else {"value": base64.b64encode(value).decode()})
            found.append(row)
        return found

    def body(self, rows, **more):
        return {"rows": rows, "schemaVersion": self.version, "nowMs": int(time.monotonic() * 1000), **more}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while head := await read_head(reader):
                method, target, _ = head[0].split(" ")
                status, body = await self.answer(method, target, await read_body(reader, head[1]))
                data = json.dumps(body).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, method, target, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query, keep_blank_values=True).items()}
        table = query.get("table", "")
        if url.path == "/rows-get":
            first, last = query.get("from", ""), query.get("to", "")
            rows = self.listed(table, lambda key, version, value: value is not None and key >= first and (not last or key < last))
            return 200, self.body(sorted(rows, key=lambda row: row["key"]), hasMore=False)
        if url.path == "/rows-feed":
            after, wait = int(query["after"]), int(query.get("waitMs", "0")) / 1000
            end = time.monotonic() + min(wait, 30)
            while True:
                if not self.has_history(table, after):
                    return 410, self.body([])
                rows = self.listed(table, lambda key, version, value: version > after)
                left = end - time.monotonic()
                if rows or left <= 0:
                    return 200, self.body(sorted(rows, key=lambda row: row["schemaVersion"]))
                try:
                    await asyncio.wait_for(asyncio.shield(self.wait_change()), left)
                except asyncio.TimeoutError:
                    pass
        if url.path == "/rows-tx" and method == "POST":
            return self.transact(json.loads(body))
        return 404, self.body([])

    async def wait_change(self):
        await self.changed.wait()

    def transact(self, call):
        conditions = call.get("expectedRevision", [])
        for condition in conditions:
            version, value = self.rows.get((condition["table"], condition["key"]), (0, None))
            if (version if value is not None else 0) != condition["schemaVersion"]:
                keys = {(c["table"], c["key"]) for c in conditions}
                rows = [row for table in {t for t, _ in keys} for row in self.listed(table, lambda key, version, value, t=table: (t, key) in keys)]
                return 412, self.body(rows)
        puts = [(put["table"], put["key"], base64.b64decode(put["value"])) for put in call.get("puts", [])]
        removals = [(row["table"], row["key"]) for row in call.get("remove", [])]
        if any(table in ("op", "servers") for table, *_ in puts + removals):
            return 403, self.body([])
        self.apply(puts, removals)
        return 200, self.body([])


class Proxy:
    """Forwards connections to the store. While it is silent, nothing passes in either direction, and new connections hang;
    while it refuses, connections are reset once a call has come."""

    def __init__(self, target):
        self.target, self.silent, self.refuse = target.split(":"), False, False
        self.writers = set()
        self.tried = asyncio.Event()  # set by each call for the list of engines that it refuses

    def cut(self):
        """Refuses connections from now on, and resets those that are open."""
        self.refuse = True
        for writer in list(self.writers):
            reset(writer)

    async def wait_try(self, seconds):
        """Waits for the next call for the list of engines that is refused."""
        self.tried.clear()
        try:
            await asyncio.wait_for(self.tried.wait(), max(seconds, 0))
        except asyncio.TimeoutError:
            pass

    async def start(self, host):
        self.server = await asyncio.start_server(self.accept, host, 0)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def accept(self, reader, writer):
        if self.refuse:
            head = await read_head(reader)
            if head and "table=servers" in head[0]:
                self.tried.set()
            return reset(writer)
        self.writers.add(writer)
        up_reader, up_writer = await asyncio.open_connection(self.target[0], int(self.target[1]))
        await asyncio.gather(self.copy(reader, up_writer), self.copy(up_reader, writer))
        self.writers.discard(writer)

    async def copy(self, reader, writer):
        try:
            while data := await reader.read(65536):
                while self.silent:
                    await asyncio.sleep(0.02)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()


class Engine:
    """A plain engine. `on_request(engine, fields, connection_requests)` may return 'reset' to lose the answer of a run."""

    def __init__(self, name, service, record, work_ms=20, on_request=None):
        self.name, self.service, self.record, self.work = name, service, record, work_ms / 1000
        self.on_request = on_request
        self.arrivals = []  # (time, attempt id) of requests that were not rejected
        self.writers = set()

    async def start(self, host, port=0):
        self.server = await asyncio.start_server(self.serve, host, port)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    def row(self, born, state="ready"):
        value = {"service": self.service, "address": self.address, "zone": ZONE, "version": "v1", "batchSlots": 6, "state": state,
                 "coldLeftMs": 0, "seqNo": 1, "born": born}
        return "servers", self.name, json.dumps(value).encode()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        requests = 0
        try:
            while head := await read_head(reader):
                body = await read_body(reader, head[1])
                requests += 1
                if not await self.answer(writer, head, body, requests):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, writer, head, body, requests):
        line, fields = head
        attempt = fields.get("x-attempt-id", "")
        if fields.get("x-expect-instance", self.name) != self.name:
            self.record.write(f"{self.name} answers 421 to {attempt}")
            return await self.reply(writer, 421, attempt, b"", "X-Not-Executed: 1\r\n")
        if line.startswith("GET /health"):
            return await self.reply(writer, 200, attempt, b"", f"X-Instance-Id: {self.name}\r\n")
        self.arrivals.append((self.record.now(), attempt))
        self.record.write(f"{self.name} runs {attempt} (#{requests})")  # number of the request on its connection
        await asyncio.sleep(self.work)
        if self.on_request and self.on_request(self, fields, requests) == "reset":
            self.record.write(f"{self.name} has run {attempt}, its answer is lost")
            reset(writer)
            return False
        return await self.reply(writer, 200, attempt, f"done {attempt} by {self.name}".encode(), f"X-Response-Seal: {self.name}.{attempt}\r\n")

    async def reply(self, writer, status, attempt, body, more):
        head = f"HTTP/1.1 {status} X\r\nX-Attempt-Id: {attempt}\r\n{more}Keep-Alive: timeout=5\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()
        return True


def rendered(fields, placeholder):
    """The text of a placeholder of a template: {{a}}, {{a.b}}, {{a.0}}, {{a|json}} (DEPLOY.md). Sections are not supported."""
    path, _, form = placeholder.strip().partition("|")
    value = fields
    for part in path.split("."):
        if part:
            value = value[int(part)] if isinstance(value, list) else value.get(part)
    if form == "json" or isinstance(value, (dict, bool)):
        return json.dumps(value)
    if isinstance(value, list):
        return ",".join(str(one) for one in value)
    return "" if value is None else str(value)


class Relay:
    """A process of the relay, started with the command of the deploy file."""

    def __init__(self, name, host, ports, seeds, store, folder, first_start=True, zone=ZONE, bounds=BOUNDS):
        self.name, self.host, self.ports, self.folder, self.zone = name, host, ports, folder, zone
        # The fields of DEPLOY.md, with the figures of a small deployment.
        self.settings = {
            "nodeName": name, "role": "relay", "machineClass": "edge", "serves": ["edge", "control"], "nodeIp": host, "zone": zone, "region": "nl-west",
            "zones": {zone: "nl-west"}, "listen": {port: f"{host}:{ports[port]}" for port in ("front", "ready", "control")},
            "internalPorts": [ports["peer"], ports["peer"] + 15], "seedAddrs": [f"{seed}:{ports['control']}" for seed in seeds],
            "firstStart": first_start, "faultCounted": False,
            "limits": {"cpuShare": 0.19, "cpuCores": 1, "memoryMb": 260, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0}, "dataDir": None,
            "discovery": "platform", "entry": "vip", "heartbeatMs": 1200, "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine",
            "stream", "tenants", "platform", "layers"], "faultTolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": bounds,
            "platform": {"address": store, "form": "table", "writesPerS": 400, "readsPerS": 2000, "txMs": 5.0, "appendsPerS": 200, "rowBytes": 65536,
                         "across": False, "historyS": HISTORY, "blobBytes": 8388608, "blobMs": 25.0, "blobPerS": 80.0}}
        self.process = None
        self.starts = 0

    async def start(self):
        template = (ROOT / "deploy" / "relay.ini").read_text(encoding="utf-8")
        text = re.sub(r"\{\{([^}]+)\}\}", lambda match: rendered(self.settings, match.group(1)), template)
        path = self.folder / f"{self.name}.ini"
        path.write_text(text, encoding="utf-8")
        self.starts += 1
        self.log = self.folder / f"{self.name}-{self.starts}.log"
        environment = {"PATH": os.environ.get("PATH", ""), "PARSLEYTRAIL_NODE_FILE": str(path), "PARSLEY_MEMORY_MB": "260"}
        with open(self.log, "wb") as log:
            self.process = await asyncio.create_subprocess_exec(str(RELAY), cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.settings["firstStart"] = False

    def send(self, number):
        if self.process and self.process.returncode is None:
            os.kill(self.process.pid, number)

    async def end(self, number=signal.SIGKILL):
        if self.process and self.process.returncode is None:
            self.send(signal.SIGCONT)
            self.send(number)
            await self.process.wait()

    async def wait_ready(self, seconds=15):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                answer = await request(self.host, self.ports["ready"], "GET", "/readiness", {}, timeout=1)
                if answer and answer[0] == 200:
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        return False

    async def state(self):
        answer = await request(self.host, 9464, "GET", "/state", {}, timeout=2)
        return json.loads(answer[2]) if answer else {}


class Client:
    """A client with a kept connection."""

    def __init__(self, host, port):
        self.host, self.port = host, port
        self.reader = self.writer = None

    async def send(self, method, path, fields, body=b"", timeout=5):
        """Returns (status, fields, body), or None if the connection ended without a complete answer."""
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.wait_for(asyncio.open_connection(self.host, self.port), 1)
            lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            length = f"Content-Length: {len(body)}\r\n" if body else ""
            self.writer.write(f"{method} {path} HTTP/1.1\r\nHost: {fields.get('Host', 'relay')}\r\n".encode()
                              + "".join(line + "\r\n" for line in lines.split("\r\n")[:-1] if not line.startswith("Host:")).encode() + f"{length}\r\n".encode() + body)
            return await asyncio.wait_for(self.receive(), timeout)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, asyncio.LimitOverrunError):
            self.close()
            return None

    async def receive(self):
        head = await read_head(self.reader)
        if head is None:
            self.close()
            return None
        body = await read_body(self.reader, head[1])
        if head[1].get("connection", "").lower() == "close":
            self.close()
        return int(head[0].split(" ")[1]), head[1], body

    def close(self):
        if self.writer:
            self.writer.transport.abort()
        self.reader = self.writer = None


async def request(host, port, method, path, fields, body=b"", timeout=5):
    client = Client(host, port)
    try:
        return await client.send(method, path, fields, body, timeout)
    finally:
        client.close()


def configuration(version, routes, services):
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000}
    value = {"version": version, "routes": routes, "services": [{"name": name, "healthPath": "/health", "maxConnections": 100} for name in services],
             "limits": limits}
    return "op", "config", json.dumps(value).encode()


def route(name, prefix, service, kind, attempts):
    return {"name": name, "host": "shop.example", "prefix": prefix, "service": service, "kind": kind, "timeoutMs": 2000,
            "targetLatencyMs": 300, "maxAttempts": attempts, "priority": 2}


def free_ports(host, names):
    """Free ports, the same on all machines of a case; none may be the fixed port of the metrics."""
    sockets, ports = [], {}
    for name in names:
        while True:
            one = socket.socket()
            one.bind((host, 0))
            sockets.append(one)
            if one.getsockname()[1] != 9464:
                ports[name] = one.getsockname()[1]
                break
    for one in sockets:
        one.close()
    return ports


def temporary_folder():
    return tempfile.TemporaryDirectory(prefix="parsley-review-2-")


def run_case(folder, run):
    """Runs a case, `run(temporary folder, record)`, which returns its exit status and a line on what was seen."""

    async def guarded(temporary, record):
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)  # so that the case ends its processes
        return await run(temporary, record)

    record = Record(folder / "record.txt")
    with temporary_folder() as name:
        temporary = pathlib.Path(name)
        try:
            status, text = asyncio.run(guarded(temporary, record))
        except (asyncio.CancelledError, OSError, RuntimeError) as error:
            status, text = 2, f"the case could not run: {error!r}"
        for log in sorted(temporary.glob("*.log")) if os.environ.get("KEEP_LOGS") else []:
            record.write(f"--- {log.name}\n" + log.read_text(errors="replace"))
    record.write(text)
    print(text)
    return status
