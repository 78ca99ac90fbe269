"""Starts systems of real processes on loopback, for the process tests and the benchmarks.

    with System(holders=2, entries=2) as system:
        system.apply(system.configuration())
        figures = system.load("--streams=10", "--requests=20")
        system.signal("engine-0", signal.SIGKILL)

Processes listen on port 0 and report the chosen ports in their logs, so that concurrent systems do not collide.
"""
import hashlib
import json
import os
import pathlib
import re
import signal
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
OPERATOR_KEY = "operator-key"
CALLER_KEY = "studio-demo-key"
RANGES = [(0, 10), (10, 22), (22, 32)]
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")


def digest(text):
    return hashlib.sha256(text.encode()).hexdigest()


class Process:
    """A running process and its log file."""

    def __init__(self, name, command, folder):
        self.name = name
        self.log = folder / f"{name}.log"
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen(command, stdout=log, stderr=log)
        self.started = self.log.stat().st_size

    @property
    def pid(self):
        return self.popen.pid

    def wait_for(self, pattern, seconds=20):
        """Waits until the process has logged text that matches the pattern; returns the first match object."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            match = re.search(pattern, self.log.read_text(errors="replace"))
            if match:
                return match
            if self.popen.poll() is not None:
                break
            time.sleep(0.01)
        raise RuntimeError(f"{self.name}: no {pattern!r} in its log:\n{self.log_tail()}")

    def log_tail(self):
        """The last 4,000 characters of the log."""
        return self.log.read_text(errors="replace")[-4000:]

    def memory_bytes(self):
        """Resident memory in private pages only, since pages of libraries are shared by all processes of the machine."""
        text = pathlib.Path(f"/proc/{self.pid}/smaps_rollup").read_text()
        return 1024 * sum(int(kb) for kb in re.findall(r"^Private_(?:Clean|Dirty):\s+(\d+)", text, re.M))

    def resident_bytes(self):
        text = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        return 1024 * int(re.search(r"VmRSS:\s+(\d+)", text).group(1))

    def cpu_seconds(self):
        fields = pathlib.Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def stop(self, seconds=10):
        """Terminates the process, and kills it if it has not exited after `seconds`. Returns its exit status."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.terminate()
            try:
                self.popen.wait(seconds)
            except subprocess.TimeoutExpired:
                self.popen.kill()
                self.popen.wait()
        return self.popen.returncode


class System:
    """A system of a platform stand-in, engines, applications, sidecars and entries; `holders` is the number of engines per range."""

    def __init__(self, holders=2, entries=2, applications=1, ranges=None, build="build", data_centers=3, engine_flags=(), entry_settings=None,
                 sidecar_settings=None, application_slow_ms=0):
        self.ranges = ranges or RANGES
        self.holders = holders
        self.entry_count = entries
        self.application_count = applications
        self.build = ROOT / build
        self.data_centers = data_centers
        self.engine_flags = list(engine_flags)
        self.entry_settings = entry_settings or {}
        self.sidecar_settings = sidecar_settings or {}
        self.application_slow_ms = application_slow_ms
        self.processes = {}
        self.addresses = {}  # process -> {"callers": ..., "operators": ..., "peers"/"links": ...}
        self.targets = []  # (id, kind, address)

    def __enter__(self):
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._temporary.name)
        try:
            self._start()
        except BaseException:
            self.__exit__(None, None, None)
            raise
        return self

    def __exit__(self, *_):
        for process in self.processes.values():
            if process.popen.poll() is None:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.kill()
        for process in self.processes.values():
            process.popen.wait()
        self._temporary.cleanup()

    # Starting

    def run(self, name, *command):
        self.processes[name] = Process(name, [str(argument) for argument in command], self.folder)
        return self.processes[name]

    def _start(self):
        self.platform = self.run("platform", self.build / "stand-in-platform").wait_for(r"listening (\S+)").group(1)
        self._start_targets()
        for i in range(self.entry_count):
            self.start_entry(i)
        for i in range(len(self.targets)):
            self.start_sidecar(i)

    def _start_targets(self):
        specs = []
        for begin, end in self.ranges:
            for _ in range(self.holders):
                specs.append((f"engine-{len(specs)}", begin, end))
        # The engines are spread over at most four processes, so that a busy event loop delays only the engines of its process.
        layers = self.ranges[-1][1]
        per_process = max(1, (len(specs) + 3) // 4)
        for first in range(0, len(specs), per_process):
            batch = specs[first:first + per_process]
            flag = ",".join(f"{name}=127.0.0.1:0:{begin}-{end}" for name, begin, end in batch)
            process = self.run(f"engines-{first // per_process}", self.build / "stand-in-engine", f"--engines={flag}", f"--layers={layers}", "--adapters=clay",
                               *self.engine_flags)
            for name, _, _ in batch:
                self.targets.append((name, "engine", process.wait_for(rf"listening {name} (\S+)").group(1)))
        for i in range(self.application_count):
            process = self.run(f"application-{i}", self.build / "stand-in-application")
            address = process.wait_for(r"listening (\S+)").group(1)
            self.targets.append((f"booking-{i}", "application", address))
            if self.application_slow_ms:
                self.request("POST", f"http://{address}/faults", {"slow-ms": self.application_slow_ms})

    def _settings(self, name, section, values):
        path = self.folder / f"{name}.ini"
        path.write_text(f"[{section}]\n" + "".join(f"{key} = {value}\n" for key, value in values.items()))
        return path

    def start_entry(self, index):
        name = f"entry-{index}"
        values = {"id": name, "region": "nl-west", "data-center": f"nl-west-{index % self.data_centers}", "caller-port": 0, "operator-port": 0, "peer-port": 0,
                  "operator-key-digest": digest(OPERATOR_KEY), "platform": self.platform,
                  "entries": ", ".join(self.addresses[other]["peers"] for other in self.entries() if other != name), **self.entry_settings}
        if name in self.addresses:
            for port, key in (("callers", "caller-port"), ("operators", "operator-port"), ("peers", "peer-port")):
                values[key] = self.addresses[name][port].rsplit(":", 1)[1]
        process = self.run(name, self.build / "parsley-entry", f"--settings={self._settings(name, 'entry', values)}")
        match = process.wait_for(r"ProcessStarted id=\S+ callers=(\S+) operators=(\S+) peers=(\S+)")
        self.addresses[name] = {"callers": match.group(1), "operators": match.group(2), "peers": match.group(3)}
        self.register_instance(name, "entry", match.group(3))

    def start_sidecar(self, index):
        name, kind, target = self.targets[index]
        values = {"id": name, "region": "nl-west", "data-center": f"nl-west-{index % self.data_centers}", "link-port": 0, "operator-port": 0,
                  "operator-key-digest": digest(OPERATOR_KEY), "platform": self.platform, "kind": kind, "target": target,
                  "service": "booking" if kind == "application" else "", "target-class": "gpu-a",
                  "entries": ", ".join(self.addresses[entry]["peers"] for entry in self.entries()), **self.sidecar_settings}
        process = self.run(name, self.build / "parsley-sidecar", f"--settings={self._settings(name, 'sidecar', values)}")
        match = process.wait_for(r"ProcessStarted id=\S+ links=(\S+) operators=(\S+)")
        self.addresses[name] = {"links": match.group(1), "operators": match.group(2)}
        self.register_instance(name, "sidecar", match.group(1))

    def entries(self):
        return [name for name in self.addresses if name.startswith("entry-")]

    def register_instance(self, name, role, address, state="live"):
        host, port = address.rsplit(":", 1)
        self.request("PUT", f"http://{self.platform}/membership/{name}", {"role": role, "host": host, "port": int(port), "state": state})

    # Requests and signals

    def request(self, method, url, body=None, headers=None, key=None, timeout=30):
        """Status, headers and body of the response, also for HTTP error statuses."""
        data = body.encode() if isinstance(body, str) else json.dumps(body).encode() if body is not None else None
        request = urllib.request.Request(url, data=data, method=method, headers=headers or {})
        if key:
            request.add_header("Authorization", f"Bearer {key}")
        try:
            with urllib.request.urlopen(request, timeout=timeout) as response:
                return response.status, dict(response.headers), response.read().decode()
        except urllib.error.HTTPError as error:
            return error.code, dict(error.headers), error.read().decode()

    def operator_request(self, method, path, body=None, entry="entry-0", headers=None):
        return self.request(method, f"http://{self.addresses[entry]['operators']}/operator/v1{path}", body, headers, OPERATOR_KEY)

    def status(self, entry="entry-0"):
        return json.loads(self.operator_request("GET", "/status", entry=entry)[2])

    def faults(self, **values):
        """Injects faults into the platform stand-in: down, silent, slow_ms, lose_answers, list_lag_ms."""
        self.request("POST", f"http://{self.platform}/faults", {key.replace("_", "-"): value for key, value in values.items()})

    def counters(self):
        return json.loads(self.request("GET", f"http://{self.platform}/counters")[2])

    def configuration(self, workspaces=1, extra=""):
        layers = self.ranges[-1][1]
        parts = [f"[model.assistant]\nlayers = {layers}\nversions = v1\nadapters = clay\n",
                 "[service.chat]\nkind = pipeline\nmodel = assistant\nversion = v1\nadapter = clay\ndeadline = 120s\n",
                 "[service.booking]\nkind = plain\nnon-idempotent = POST /bookings\ndeadline = 5s\n",
                 "[target-class.gpu-a]\naccelerator = a\nmemory-gib = 24\ntokens-per-second = 2000\n"]
        for i in range(workspaces):
            key = CALLER_KEY if i == 0 else f"key-{i}"
            parts.append(f"[workspace.studio-{i}]\nkey-digests = {digest(key)}\nservices = chat, booking\nmax-streams = 100000\n")
        return "\n".join(parts) + extra

    def apply(self, text, entry="entry-0"):
        """Applies a configuration file; returns its version and the time at which it was accepted."""
        code, _, body = self.operator_request("PUT", "/configuration", text, entry)
        if code != 200:
            raise RuntimeError(f"apply: {code} {body}")
        return json.loads(body)["version"], time.monotonic()

    def wait_until(self, what, done, seconds=60):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if done():
                return
            time.sleep(0.02)
        raise RuntimeError(f"timed out waiting for {what}")

    def wait_ready(self):
        """Waits until each entry is ready and lists every target as ready, with the same configuration version as the entry."""
        def is_ready(entry):
            status = self.status(entry)
            version = status["configuration"]["version"]
            ready = [target for target in status["targets"] if target["state"] == "Ready" and target["configuration"] == version]
            return status["isReady"] and len(ready) == len(self.targets)
        for entry in self.entries():
            self.wait_until(f"{entry} to be ready", lambda entry=entry: is_ready(entry))

    def start_load(self, *flags, entries=None):
        addresses = ",".join(self.addresses[entry]["callers"] for entry in entries or self.entries())
        return subprocess.Popen([str(self.build / "parsley-load"), f"--entries={addresses}", f"--layers={self.ranges[-1][1]}", *flags], stdout=subprocess.PIPE, text=True)

    def load(self, *flags, entries=None):
        """Runs parsley-load to its end and returns its figures by name."""
        return figures(self.start_load(*flags, entries=entries))

    def signal(self, name, number):
        self.processes[name].popen.send_signal(number)
        if number == signal.SIGKILL:
            self.processes[name].popen.wait()


def figures(load):
    """Waits for a parsley-load process and returns the figures it printed, by name."""
    output, _ = load.communicate()
    return {name: float(value) for name, value, _ in (line.split(" ", 2) for line in output.splitlines())}
