"""Test bed for the review's scripts: one store, plain services and relays on loopback addresses.

The relay is the project's own program, started with the command and the settings template of deploy/system.toml. The store, the
servers and the clients are small stand-ins in this process; they follow PROTOCOL.md. Everything that is sent, answered and run is
written to record.txt of the case.
"""
import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import re
import resource
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
BOUNDS = {"drainMs": 2000, "graceS": 8, "retryBudgetRatio": 0.2, "budgetSlack": 198, "budgetWindowS": 10}  # of draaischijf-rtr
HEARTBEAT = 1.2  # seconds
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2


class CouldNotRun(Exception):
    """The case could not be played, so that it says nothing about the rule."""


class Record:
    """record.txt: one line an event, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
        self.file.flush()


def free_host():
    """A loopback address of its own for each relay, so that the template's fixed metrics port is free."""
    for _ in range(200):
        host = f"127.{random.randrange(30, 250)}.{random.randrange(1, 250)}.{random.randrange(2, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((host, 9464))
                return host
            except OSError:
                continue
    raise CouldNotRun("no loopback address is free")


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


async def read_head(reader):
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """The body of a message with a length or in chunks. Raises IncompleteReadError if the connection ends before its end."""
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    body = b""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
    return body


class Server:
    """An HTTP server on a loopback address; `handle(line, fields, body, writer)` answers one request."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()

    async def start(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self.serve, host, port, limit=1 << 22)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                await self.handle(line, fields, body, writer)
        except (OSError, EOFError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store:
    """The platform's store as PROTOCOL.md describes it: rows-get, rows-feed and rows-tx."""

    def __init__(self):
        self.tables, self.version = {}, 0
        self.changed = asyncio.Event()

    async def start(self):
        self.http = await Server(self.handle).start()
        self.address = self.http.address
        return self

    def put(self, table, key, value):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.apply([(table, key, base64.b64encode(data).decode(), False)])

    def remove(self, table, key):
        self.apply([(table, key, None, True)])

    def apply(self, changes):
        self.version += 1
        for table, key, value, is_deleted in changes:
            self.tables.setdefault(table, {})[key] = (self.version, value, is_deleted)
        self.changed.set()
        self.changed = asyncio.Event()

    def row(self, table, key):
        version, value, is_deleted = self.tables.get(table, {}).get(key, (0, None, True))
        row = {"table": table, "part": "", "key": key, "schemaVersion": version}
        return {**row, "deleted": True} if is_deleted else {**row, "value": value}

    def changes(self, table, after):
        found = [(row[0], key) for key, row in self.tables.get(table, {}).items() if row[0] > after]
        return [self.row(table, key) for _, key in sorted(found)]

    async def handle(self, line, fields, body, writer):
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        query = {name: re.sub("%([0-9A-Fa-f]{2})", lambda m: chr(int(m[1], 16)), value)
                 for name, _, value in (pair.partition("=") for pair in query.split("&"))}
        status, answer = 200, {}
        if path == "/rows-get":
            keys = sorted(key for key, row in self.tables.get(query["table"], {}).items() if not row[2])
            low, high = query.get("from", ""), query.get("to", "")
            answer = {"rows": [self.row(query["table"], key) for key in keys if key >= low and (not high or key < high)], "hasMore": False}
        elif path == "/rows-feed":
            end = time.monotonic() + int(query["waitMs"]) / 1000
            while not (rows := self.changes(query["table"], int(query["after"]))) and time.monotonic() < end:
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), end - time.monotonic())
            answer = {"rows": rows}
        elif path == "/rows-tx":
            status, answer = self.transact(json.loads(body))
        else:
            status = 404
        answer = json.dumps({**answer, "schemaVersion": self.version, "nowMs": int(time.monotonic() * 1000)}).encode()
        writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(answer)}\r\n\r\n".encode() + answer)
        await writer.drain()

    def transact(self, call):
        expected = call.get("expectedRevision", [])
        for row in expected:
            current = self.row(row["table"], row["key"])
            if (0 if current.get("deleted") else current["schemaVersion"]) != row["schemaVersion"]:
                return 412, {"rows": [self.row(other["table"], other["key"]) for other in expected]}
        self.apply([(row["table"], row["key"], row["value"], False) for row in call.get("puts", [])]
                   + [(row["table"], row["key"], None, True) for row in call.get("remove", [])])
        return 200, {}


class Engine:
    """A server of a plain service, registered in the store. `answer(engine, request, writer)` decides what it answers."""

    def __init__(self, bed, name, service, answer, zone="zone-a", slots=6):
        self.bed, self.name, self.service, self.zone, self.slots = bed, name, service, zone, slots
        self.answer, self.sequence = answer, 0
        self.runs = []  # attempt ids of the requests that it began to run

    async def start(self):
        self.http = await Server(self.handle).start()
        self.bed.tasks.append(asyncio.create_task(self.beat()))
        await asyncio.sleep(0)
        return self

    async def beat(self):
        born = int(time.time() * 1000)
        while True:
            self.sequence += 1
            self.bed.store.put("servers", self.name, {
                "service": self.service, "address": self.http.address, "zone": self.zone, "version": 1, "batchSlots": self.slots,
                "state": "ready", "coldLeftMs": 0, "seqNo": self.sequence, "born": born})
            await asyncio.sleep(HEARTBEAT)

    async def handle(self, line, fields, body, writer):
        request = Request(line, fields, body)
        if fields.get("x-expect-instance", self.name) != self.name:
            self.send(writer, request, "421 Misdirected Request", b"", seal=False)
            return
        self.runs.append(request.id)
        self.bed.record.write(f"run       {request.id} at {self.name}: {line} body {len(body)} bytes tenant {fields.get('x-tenant', '-')}")
        await self.answer(self, request, writer)
        await writer.drain()

    def send(self, writer, request, status, body, seal=True):
        seal_field = f"X-Response-Seal: {random.getrandbits(64):016x}.{len(body)}\r\n" if seal else ""
        writer.write(f"HTTP/1.1 {status}\r\nX-Attempt-Id: {request.id}\r\n{seal_field}Content-Type: text/plain\r\n"
                     f"Content-Length: {len(body)}\r\n\r\n".encode() + body)


class Request:
    def __init__(self, line, fields, body):
        self.line, self.fields, self.body = line, fields, body
        self.id = fields.get("x-attempt-id", "-")


class Relay:
    """The project's relay as a process, with the command and the settings template of deploy/system.toml."""

    def __init__(self, bed, name, zone="zone-a", host=None, seeds=(), store=None, bounds=None):
        self.bed, self.name, self.zone = bed, name, zone
        self.host = host or free_host()
        self.seeds = list(seeds) or [f"{self.host}:1"]
        self.store = store or bed.store.address
        self.bounds = {**BOUNDS, **(bounds or {})}

    async def start(self, peer_port=None):
        with open(ROOT / "deploy/system.toml", "rb") as file:
            role = tomllib.load(file)["roles"]["relay"]
        self.front, self.ready = free_port(self.host), free_port(self.host)
        values = {"nodeName": self.name, "zone": self.zone, "nodeIp": self.host, "listen.front": f"{self.host}:{self.front}",
                  "listen.ready": f"{self.host}:{self.ready}", "internalPorts.0": peer_port or free_port(self.host),
                  "limits.cpuShare": 0.19, "limits.maxFds": 4100, "firstStart": "true", "seedAddrs": ",".join(self.seeds),
                  "platform.address": self.store, **{f"bounds.{key}": value for key, value in self.bounds.items()}}
        template = (ROOT / role["template"]).read_text(encoding="utf-8")
        settings = self.bed.folder / f"{self.name}.ini"
        settings.write_text(re.sub(r"\{\{(.*?)\}\}", lambda match: str(values[match[1]]), template), encoding="utf-8")
        command = role["run"].split()
        if not (ROOT / command[0]).exists():
            raise CouldNotRun(f"{command[0]} is not built")
        self.log = open(self.bed.folder / f"{self.name}.log", "wb")
        self.process = await asyncio.create_subprocess_exec(*command, cwd=ROOT, stdout=self.log, stderr=self.log,
                                                            env={"PATH": os.environ["PATH"], "PARSLEYTRAIL_NODE_FILE": str(settings)})
        self.bed.relays.append(self)
        for _ in range(100):
            if await self.is_ready():
                self.bed.record.write(f"ready     {self.name} at {self.host}:{self.front}")
                return self
            await asyncio.sleep(0.1)
        raise CouldNotRun(f"{self.name} is not ready")

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.host, self.ready)
        except OSError:
            return False
        writer.write(b"GET /readiness HTTP/1.1\r\nHost: relay\r\nConnection: close\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return b" 200 " in line

    async def connect(self, **options):
        return await asyncio.open_connection(self.host, self.front, limit=1 << 22, **options)

    def signal(self, number):
        self.bed.record.write(f"signal    {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    async def end(self):
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
        await self.process.wait()
        self.log.close()


class Bed:
    """Everything that a case starts, and the end of it."""

    def __init__(self, case, has_trouble):
        self.case, self.has_trouble = case, has_trouble
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(case)
        self.tasks, self.relays, self.engines = [], [], []
        self.attempts = 0

    async def start_store(self):
        self.store = await Store().start()

    async def add_engine(self, *arguments, **options):
        self.engines.append(await Engine(self, *arguments, **options).start())
        return self.engines[-1]

    def attempt_id(self, prefix="a"):
        self.attempts += 1
        return f"{prefix}{self.attempts:05d}{random.getrandbits(32):08x}"

    async def end(self):
        for task in self.tasks:
            task.cancel()
        for relay in self.relays:
            await relay.end()
        for engine in self.engines:
            engine.http.stop()
        self.store.http.stop()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000}


def main(case_file, play, seconds=110):
    """Runs `play(bed)`, which returns whether the rule held, and exits with the status that the review asks for."""
    case = pathlib.Path(case_file).resolve().parent
    resource.setrlimit(resource.RLIMIT_CORE, (0, 0))  # a relay that aborts leaves no core file in the repository

    async def run():
        bed = Bed(case, os.environ.get("TROUBLE", "1") != "0")
        status = COULD_NOT_RUN
        try:
            await bed.start_store()
            status = HELD if await asyncio.wait_for(play(bed), seconds) else BROKEN
        except Exception as error:  # whatever went wrong in the stand-ins says nothing about the rule
            bed.record.write(f"could not run: {type(error).__name__} {error}")
        finally:
            await bed.end()
        bed.record.write(f"result    {'rule broken' if status == BROKEN else 'rule held' if status == HELD else 'could not run'}")
        return status

    status = asyncio.run(run())
    print({BROKEN: "rule broken", HELD: "rule held", COULD_NOT_RUN: "could not run"}[status])
    sys.exit(status)
