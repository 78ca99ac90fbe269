#!/usr/bin/env python3
"""Randomized soak test: runs relays, a table store and target hosts as processes, injects faults and checks invariants.

    tests/soak.py BUILD [--seeds 1-3,8] [--seconds 8]

Without --seeds: seed 1 and all seeds that failed before.

Each seed determines a series of faults, which may overlap: loopback proxies delay, reset or block the connections between
relays, store and targets in one or both directions; the address of an engine goes to another one; processes are stopped, paused, killed and restarted by signals; the
configuration changes. Callers send requests all the time, on the same connection until it breaks.

Checked, as observed by callers and targets:
  answers    a successful response has the id of its request, the target's seal and a complete body
  once       a request that is not idempotent ran at most once
  refusals   a request that was answered with 429 or 503 never ran
  events     each event of a stream arrives once and in order; a stream is complete only with its last event
  stops      a relay ends only when told to, with status 0, within its stop timeout
  recovery   within 20 seconds after the last fault every relay serves streams and calls again
  current    within the same time every relay has the newest configuration

Exit: 0 all checks passed, 1 a check failed (the seed and the folder with all logs are printed), 2 wrong usage.
"""
import argparse
import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

DATA_CENTERS = 2
ENGINES = 3  # per data centre
RELAYS = 3
EVENTS = 20  # in a complete stream
STOP_TIMEOUT = 3.0  # seconds from the stop signal until the relay ends by itself; also its setting stop-timeout
RECOVERY = 20.0  # seconds after the last fault until all relays must serve again; a lease and the grace after an outage take 6 of them
ANSWER_TIMEOUT = 6.0  # seconds that a caller waits for a response
CHANGES_IN_SERIES = 60  # configurations written one after the other
SECONDS = 8.0  # time during which a seed injects faults
# Seeds that failed before, with the cause. Never removed or changed.
REGRESSIONS = {
    17: "the soak's own signals consumed the exit status of a relay that had stopped as told; two soaks of one seed shared addresses",
    33: "the first cause of seed 17",
    42: "a signal to a relay that had just ended stopped the soak from starting it again",
}
GUARD_PORT = 8079  # bound while a soak uses its range of addresses
NODE_FILE = "PARSLEYTRAIL_NODE_FILE"


class Proxy:
    """Forwards connections between two processes; `mode` is the fault that it injects."""

    MODES = ["delay", "reset", "silent", "one-way"]

    def __init__(self, name, port, target=None):
        self.name, self.port, self.target = name, port, target
        self.mode = "pass"
        self.pairs = set()

    async def start(self):
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def accept(self, reader, writer):
        if self.mode == "reset" or self.target is None:
            writer.transport.abort()
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, up_writer)
        self.pairs.add(pair)
        await asyncio.gather(self.copy(reader, up_writer, False), self.copy(up_reader, writer, True))
        self.pairs.discard(pair)

    async def copy(self, reader, writer, is_answer):
        try:
            while data := await reader.read(65536):
                if self.mode == "delay":
                    await asyncio.sleep(0.08)
                while self.mode == "silent" or (self.mode == "one-way" and is_answer):
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
            writer.write_eof()
        except (OSError, RuntimeError, asyncio.CancelledError):
            writer.transport.abort()

    def set_mode(self, mode):
        self.mode = mode
        if mode == "reset":
            for pair in list(self.pairs):
                for writer in pair:
                    writer.transport.abort()


class Process:
    """A process of the system; `expected_end` is the signal that was sent to end it, else None."""

    def __init__(self, name, folder, command, env=None):
        self.name, self.folder, self.command, self.env = name, folder, command, env
        self.starts = 0
        self.process = None

    async def start(self):
        self.starts += 1
        self.expected_end = None
        self.log = self.folder / f"{self.name}-{self.starts}.log"
        with open(self.log, "wb") as log:
            self.process = await asyncio.create_subprocess_exec(*self.command(self.starts), stdout=log, stderr=log, env=self.env)
        return self

    def signal(self, number, ends=False):
        if self.process.returncode is None:
            if ends:
                self.expected_end = number
            # Popen.send_signal() polls first and may consume the exit status that asyncio waits for.
            try:
                os.kill(self.process.pid, number)
            except ProcessLookupError:
                pass  # it has just ended and asyncio has not noticed yet

    async def end(self, number):
        self.signal(signal.SIGCONT)
        self.signal(number, ends=True)
        await self.process.wait()

    async def listening(self, count):
        """Waits until the process has printed `count` listening addresses; returns them by name."""
        for _ in range(400):
            lines = [line.split() for line in self.log.read_text(errors="replace").splitlines() if line.startswith("listening ")]
            if len(lines) >= count:
                return {line[1] if len(line) > 2 else "": split_address(line[-1]) for line in lines}
            await asyncio.sleep(0.02)
        raise RuntimeError(f"{self.name} does not listen: {self.log.read_text(errors='replace')[-500:]}")


def split_address(text):
    host, port = text.rsplit(":", 1)
    return host, int(port)


def reserve_addresses():
    """Returns the prefix of loopback addresses that no other soak on this machine uses, and the socket that reserves them."""
    for number in range(os.getpid(), os.getpid() + 1000):
        prefix = f"127.{20 + number % 200}.{number // 200 % 250}."
        guard = socket.socket()
        try:
            guard.bind((prefix + "1", GUARD_PORT))
            return prefix, guard
        except OSError:
            guard.close()
    raise RuntimeError("no loopback addresses are free")


class Connection:
    """A caller's connection to a relay, used until it breaks."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def request(self, head, body=b""):
        """Returns status, header fields, body and whether it is complete. Raises OSError or EOFError if there is no response."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(*self.address)
        try:
            self.writer.write(head + f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
            lines = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            fields = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
            data, whole = await self.read_body(fields)
        except (OSError, EOFError, asyncio.LimitOverrunError, asyncio.CancelledError):
            self.close()
            raise
        if not whole or fields.get("connection") == "close":
            self.close()
        return int(lines[0].split()[1]), fields, data, whole

    async def read_body(self, fields):
        data = b""
        try:
            if "content-length" in fields:
                return await self.reader.readexactly(int(fields["content-length"])), True
            while size := int((await self.reader.readuntil(b"\r\n")).strip(), 16):
                data += (await self.reader.readexactly(size + 2))[:-2]
            await self.reader.readexactly(2)
            return data, True
        except (OSError, EOFError):
            return data, False

    def close(self):
        if self.writer:
            self.writer.transport.abort()
        self.reader = self.writer = None


class Soak:
    def __init__(self, build, seed, seconds, folder):
        self.build, self.seed, self.seconds, self.folder = build, seed, seconds, folder
        self.random = random.Random(seed)
        self.broken = []
        self.refused = set()  # ids of requests that were refused as not run
        self.idempotent = set()  # ids of idempotent requests, which may run more than once
        self.counts = {"streams": 0, "whole streams": 0, "calls": 0, "good calls": 0, "faults": 0}
        self.version = 0
        self.next_id = 0
        self.host_prefix, self.guard = reserve_addresses()
        self.peer_port = 20000 + self.random.randrange(10000)
        self.relays, self.hosts, self.proxies = [], [], {}

    def log_line(self, text):
        with open(self.folder / "soak.log", "a", encoding="utf-8") as log:
            log.write(f"{time.monotonic() - self.started:8.3f} {text}\n")

    def fail(self, check, text):
        self.broken.append(f"{check}: {text}")
        self.log_line(f"BROKEN {check}: {text}")

    # Start and stop

    async def start(self):
        self.started = time.monotonic()
        self.store = await Process("store", self.folder, lambda _: [self.build / "stand-in-table-store"]).start()
        self.store_address = (await self.store.listening(1))[""]
        await self.configure()
        for index in range(DATA_CENTERS):
            self.hosts.append(await self.make_host(index))
        for index in range(RELAYS):
            self.relays.append(await self.make_relay(index))
        await self.wait_serving("at the start")

    async def make_host(self, index):
        host = Process(f"host-{index}", self.folder, lambda start: self.host_command(index, start))
        host.names = self.host_names(index)
        for name in host.names:
            self.proxies[name] = await Proxy(name, 0).start()
        await host.start()
        await self.connect_host(host)
        return host

    def host_command(self, index, start):
        registered = {name: f"{name}=127.0.0.1:{self.proxies[name].port}" for name in self.host_names(index)}
        engines = ",".join(text for name, text in registered.items() if name.startswith("engine"))
        targets = ",".join(text for name, text in registered.items() if name.startswith("shop"))
        return [self.build / "stand-in-target-host", f"--store={self.store_address[0]}:{self.store_address[1]}",
                f"--data_center=dc-{index}", f"--engines={engines}", f"--targets={targets}", f"--born={1000 + start}"]

    @staticmethod
    def host_names(index):
        return [f"engine-{index}-{i}" for i in range(ENGINES)] + [f"shop-{index}"]

    async def connect_host(self, host):
        for name, address in (await host.listening(ENGINES + 1)).items():
            self.proxies[name].target = address

    async def make_relay(self, index):
        proxy = await Proxy(f"store-{index}", 0, self.store_address).start()
        self.proxies[proxy.name] = proxy
        host = f"{self.host_prefix}{index + 1}"
        settings = self.folder / f"relay-{index}.ini"
        settings.write_text(
            f"[relay]\nid = entry-{index}\ndata-center = dc-{index % DATA_CENTERS}\nhost = {host}\n"
            f"caller-address = {host}:8080\nreadiness-address = {host}:8081\npeer-port = {self.peer_port}\n"
            f"metrics-port = {self.peer_port + 1}\nseeds = {self.host_prefix}1:1,{self.host_prefix}2:1\n"
            f"store = 127.0.0.1:{proxy.port}\nstore-watch = 500ms\nstop-timeout = {STOP_TIMEOUT * 1000:.0f}ms\n", encoding="utf-8")
        relay = Process(f"relay-{index}", self.folder, lambda _: [self.build / "parsley-relay"], {NODE_FILE: str(settings)})
        relay.address = (host, 8080)
        return await relay.start()

    async def stop(self):
        for process in [*self.relays, *self.hosts, self.store]:
            await process.end(signal.SIGKILL)
        for proxy in self.proxies.values():
            proxy.set_mode("reset")
            proxy.server.close()

    async def write_rows(self, puts=(), removals=()):
        puts = [{"table": table, "part": "", "key": key, "value": base64.b64encode(json.dumps(value).encode()).decode()} for table, key, value in puts]
        removals = [{"table": table, "part": "", "key": key} for table, key in removals]
        body = json.dumps({"expectedRevision": [], "puts": puts, "remove": removals}).encode()
        connection = Connection(self.store_address)
        await connection.request(b"POST /rows-tx HTTP/1.1\r\nHost: store\r\n", body)
        connection.close()

    async def configure(self):
        self.version += self.random.randrange(1, 4)
        route = {"host": "host.example", "timeoutMs": 5000, "targetLatencyMs": 300, "priority": 1, "public": True}
        routes = [{**route, "name": "r-book", "prefix": "/book/", "kind": "non_idempotent", "service": "shop", "maxAttempts": 1},
                  {**route, "name": "r-read", "prefix": "/read/", "kind": "idempotent", "service": "shop", "maxAttempts": 3},
                  {**route, "name": "r-chat", "prefix": "/chat/", "kind": "streaming", "service": "chat", "maxAttempts": 2, "resumable": True}]
        engine = {"batchSlots": 192, "kvTokenBytes": 8000, "stride": 1, "models": [{"name": "m", "loadS": 1.0}], "step_ms": 1.0,
                  "per_seq_ms": 0.001, "read_per_s": 100000.0, "loads_at_once": 6, "usual": {"prompt": 100, "answer": 20}, "layers": 8,
                  "layerMb": 100.0, "kinds": [{"name": "small", "mb": 640.0, "pace": 1.0, "readX": 1.0}]}
        services = [{"name": "shop", "healthPath": "/health", "maxConnections": 100},
                    {"name": "chat", "healthPath": "/health", "maxConnections": 100, "engine": engine}]
        limits = {"maxHeaderBytes": 4096, "maxBodyBytes": 65536, "headerTimeoutMs": 2000, "idleTimeoutMs": 8000}
        configuration = {"version": self.version, "routes": routes, "services": services, "limits": limits, "tenants": []}
        await self.write_rows([("op", "config", configuration)])

    # Callers

    def make_head(self, method, path):
        self.next_id += 1
        attempt = f"s{self.seed}-{self.next_id}"
        if path == "/read/":
            self.idempotent.add(attempt)
        return attempt, (f"{method} {path}{attempt} HTTP/1.1\r\nHost: host.example\r\nX-Attempt-Id: {attempt}\r\n"
                         f"X-Deadline-Ms: {int(ANSWER_TIMEOUT * 1000)}\r\n").encode()

    async def call(self, connection, path, extra=b"", body=b""):
        attempt, head = self.make_head("POST" if body else "GET", path)
        try:
            answer = await asyncio.wait_for(connection.request(head + extra, body), ANSWER_TIMEOUT)
        except (OSError, EOFError, asyncio.TimeoutError, asyncio.LimitOverrunError):
            connection.close()
            return attempt, None
        if answer[0] in (429, 503):
            self.refused.add(attempt)
        return attempt, answer

    async def call_once(self, connection, path):
        body = b"seat" if path == "/book/" else b""
        attempt, answer = await self.call(connection, path, body=body)
        self.counts["calls"] += 1
        if answer is None or answer[0] != 200:
            return False
        _, fields, data, whole = answer
        if not whole or fields.get("x-attempt-id") != attempt or "x-response-seal" not in fields or data != f"done {attempt} ".encode() + body:
            self.fail("answers", f"{attempt} got {fields} {data!r} whole={whole}")
        self.counts["good calls"] += 1
        return True

    async def stream_once(self, connection):
        attempt, answer = await self.call(connection, "/chat/", b"X-Token-Usage: 100,20\r\n")
        self.counts["streams"] += 1
        if answer is None or answer[0] != 200:
            return False
        _, fields, data, whole = answer
        ids = [int(part.split(b"\n")[0][4:]) for part in data.split(b"\n\n") if part.startswith(b"id: ") and b"\ndata: " in part]
        if fields.get("x-attempt-id") != attempt:
            self.fail("answers", f"{attempt} got the stream of {fields.get('x-attempt-id')}")
        if ids != list(range(1, len(ids) + 1)) or (whole and len(ids) != EVENTS):
            self.fail("events", f"{attempt} whole={whole} got {ids}")
        self.counts["whole streams"] += whole
        return whole

    async def caller(self, relay, path):
        connection = Connection(relay.address)
        while not self.is_over:
            served = await (self.stream_once(connection) if path == "/chat/" else self.call_once(connection, path))
            await asyncio.sleep(0.02 if served else 0.2)
        connection.close()

    async def wait_serving(self, when):
        for relay in self.relays:
            end = time.monotonic() + RECOVERY
            for path in ("/chat/", "/read/", "/book/"):
                while True:
                    connection = Connection(relay.address)
                    served = await (self.stream_once(connection) if path == "/chat/" else self.call_once(connection, path))
                    connection.close()
                    if served:
                        break
                    if time.monotonic() > end:
                        self.fail("recovery", f"{relay.name} serves no {path} {RECOVERY:.0f} s after, {when}")
                        break
                    await asyncio.sleep(0.1)

    async def version_at(self, relay):
        """Version of the configuration in force at a relay; 0 if it does not tell."""
        connection = Connection((relay.address[0], self.peer_port + 1))
        try:
            answer = await asyncio.wait_for(connection.request(b"GET /state HTTP/1.1\r\nHost: relay\r\n"), ANSWER_TIMEOUT)
            return json.loads(answer[2])["configurationVersion"]
        except (OSError, EOFError, ValueError, asyncio.TimeoutError):
            return 0
        finally:
            connection.close()

    async def wait_current(self):
        end = time.monotonic() + RECOVERY
        for relay in self.relays:
            while (version := await self.version_at(relay)) < self.version:
                if time.monotonic() > end:
                    self.fail("current", f"{relay.name} has version {version} of the configuration, the newest is {self.version}")
                    break
                await asyncio.sleep(0.1)

    # Faults

    async def disturb_proxy(self):
        proxy = self.random.choice(list(self.proxies.values()))
        mode = self.random.choice(Proxy.MODES)
        self.log_line(f"proxy {proxy.name} {mode}")
        proxy.set_mode(mode)
        await asyncio.sleep(self.random.uniform(0.1, 2.5))
        proxy.set_mode("pass")

    async def pause(self):
        process = self.random.choice([*self.relays, *self.hosts, self.store])
        self.log_line(f"pause {process.name}")
        process.signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.1, 2.0))
        process.signal(signal.SIGCONT)

    async def restart_relay(self):
        relay = self.random.choice(self.relays)
        if relay.is_changing:
            return
        relay.is_changing = True
        kills = self.random.random() < 0.5
        self.log_line(f"{'kill' if kills else 'stop'} {relay.name}")
        begun = time.monotonic()
        relay.signal(signal.SIGCONT)
        relay.signal(signal.SIGKILL if kills else signal.SIGTERM, ends=True)
        while relay.process.returncode is None and time.monotonic() - begun < 4 * STOP_TIMEOUT:
            relay.signal(signal.SIGCONT)  # an overlapping pause must not delay the stop
            await asyncio.sleep(0.05)
        if relay.process.returncode is None:
            self.fail("stops", f"{relay.name} still runs {4 * STOP_TIMEOUT} s after SIGTERM")
            await relay.end(signal.SIGKILL)
        elif not kills and relay.process.returncode != 0:
            self.fail("stops", f"{relay.name} ended with {relay.process.returncode}")
        await asyncio.sleep(self.random.uniform(0, 0.5))
        await relay.start()
        relay.is_changing = False

    async def restart_host(self):
        host = self.random.choice(self.hosts)
        if host.is_changing:
            return
        host.is_changing = True
        kills = self.random.random() < 0.6
        self.log_line(f"{'kill' if kills else 'drain'} {host.name}")
        host.signal(signal.SIGCONT)
        host.signal(signal.SIGKILL if kills else signal.SIGTERM, ends=True)
        while host.process.returncode is None:
            host.signal(signal.SIGCONT)
            await asyncio.sleep(0.05)
        for name in host.names:
            self.proxies[name].target = None
        if kills:
            await asyncio.sleep(self.random.uniform(0.2, 1.0))
            await self.write_rows(removals=[("servers", name) for name in host.names])
        await host.start()
        await self.connect_host(host)
        host.is_changing = False

    async def change_configuration(self):
        self.log_line("configuration")
        await self.configure()

    async def change_in_series(self):
        """Many configurations in a row, while the store falls silent for one relay."""
        proxy = self.proxies[f"store-{self.random.randrange(len(self.relays))}"]
        self.log_line(f"configurations in series, {proxy.name} silent")
        for number in range(CHANGES_IN_SERIES):
            if number == CHANGES_IN_SERIES // 4:
                proxy.set_mode("silent")
            await self.configure()
            await asyncio.sleep(0.05)
        proxy.set_mode("pass")

    async def cut_from_store(self):
        """The store falls silent for one relay alone, and the configuration changes meanwhile."""
        index = self.random.randrange(len(self.relays))
        proxy = self.proxies[f"store-{index}"]
        self.log_line(f"store silent for relay-{index}, and a configuration")
        proxy.set_mode("silent")
        await asyncio.sleep(0.2)
        await self.configure()
        await asyncio.sleep(self.random.uniform(2.0, 5.5))
        proxy.set_mode("pass")

    async def reuse_address(self):
        """An engine is lost, and another engine answers at its address while the list still names the lost one."""
        names = [name for name in self.proxies if name.startswith("engine")]
        lost, owner = (self.proxies[name] for name in self.random.sample(names, 2))
        before, lost.target = lost.target, owner.target
        if before is None or owner.target is None:
            lost.target = before
            return
        self.log_line(f"the address of {lost.name} belongs to {owner.name}")
        lost.set_mode("reset")  # connections to the lost engine end
        lost.set_mode("pass")
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        if lost.target == owner.target:
            lost.target = before
            lost.set_mode("reset")
            lost.set_mode("pass")

    async def send_sighup(self):
        relay = self.random.choice(self.relays)
        self.log_line(f"SIGHUP {relay.name}")
        relay.signal(signal.SIGHUP)

    async def run_fault(self):
        self.counts["faults"] += 1
        faults = [self.disturb_proxy] * 5 + [self.pause] * 2 + [self.restart_relay] * 2 + [self.restart_host] * 2 + [self.change_configuration, self.send_sighup]
        faults += [self.cut_from_store, self.reuse_address, self.change_in_series]
        try:
            await self.random.choice(faults)()
        except (OSError, EOFError) as error:
            self.log_line(f"a fault failed because of another: {error!r}")

    async def run_faults(self):
        running = set()
        end = time.monotonic() + self.seconds
        while time.monotonic() < end:
            running.add(asyncio.ensure_future(self.run_fault()))
            await asyncio.sleep(self.random.uniform(0.05, 1.0))
        await asyncio.gather(*running)

    # Checks

    def check_runs(self):
        runs = {}
        for log in self.folder.glob("host-*.log"):
            for line in log.read_text(errors="replace").splitlines():
                if line.startswith("ran "):
                    runs.setdefault(line.split()[1], []).append(line.split()[2])
        for attempt, targets in runs.items():
            if attempt in self.refused:
                self.fail("refusals", f"{attempt} was refused as not run and ran at {targets}")
            if len(targets) > 1 and attempt not in self.idempotent:
                self.fail("once", f"{attempt} ran at {targets}")

    def check_ends(self):
        for relay in self.relays:
            if relay.process.returncode is not None and relay.expected_end is None:
                self.fail("stops", f"{relay.name} ended by itself with {relay.process.returncode}")

    async def run(self):
        self.is_over = False
        await self.start()
        for process in [*self.relays, *self.hosts]:
            process.is_changing = False
        callers = [asyncio.ensure_future(self.caller(relay, path)) for relay in self.relays for path in ("/chat/", "/chat/", "/read/", "/book/")]
        await self.run_faults()
        self.log_line("faults are over")
        self.check_ends()
        await self.wait_serving("after the last fault")
        await self.wait_current()
        self.is_over = True
        await asyncio.gather(*callers)
        self.check_ends()
        await self.stop()
        self.check_runs()


def parse_seeds(text):
    seeds = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


async def run_seed(options, seed):
    folder = pathlib.Path(tempfile.mkdtemp(prefix=f"parsley-soak-{seed}-"))
    soak = Soak(pathlib.Path(options.build).resolve(), seed, options.seconds, folder)
    try:
        await soak.run()
    finally:
        for process in [*soak.relays, *soak.hosts, getattr(soak, "store", None)]:
            if process and process.process.returncode is None:
                await process.end(signal.SIGKILL)
    print(f"seed {seed}: {'BROKEN' if soak.broken else 'kept'} {soak.counts}", flush=True)
    for text in soak.broken[:10]:
        print(f"  {text}")
    if soak.broken:
        print(f"  logs in {folder}")
    else:
        shutil.rmtree(folder)
    return not soak.broken


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("build", help="folder with the programs")
    parser.add_argument("--seeds", default=",".join(map(str, [1, *REGRESSIONS])), help="numbers and ranges, separated by commas")
    parser.add_argument("--seconds", type=float, default=SECONDS, help="time during which a seed injects faults")
    options = parser.parse_args()
    kept = [asyncio.run(run_seed(options, seed)) for seed in parse_seeds(options.seeds)]
    print(f"{sum(kept)} passed, {len(kept) - sum(kept)} failed")
    return 0 if all(kept) else 1


if __name__ == "__main__":
    sys.exit(main())
