"""Stand-in for model engines, as PROTOCOL.md describes them: orders, reports, layers, and streams over a chain of engines."""
import asyncio
import json
import random
import time

import bed as testbed


ENGINES = {}  # by address, as the engines of a chain reach each other


class ModelEngine(testbed.Engine):
    """An engine that holds layers of a model. `models` maps a service to its `engine` object in the configuration."""

    def __init__(self, bed, name, service, kind, model, zone="zone-a"):
        super().__init__(bed, name, service, None, zone, slots=model["batchSlots"])
        self.kind, self.model = kind, model
        self.mb = next(known["mb"] for known in model["kinds"] if known["name"] == kind)
        self.layers, self.orders, self.is_busy, self.is_alive = (0, 0), 0, False, True
        self.born = int(time.time() * 1000)
        self.crash_reason = None

    async def start(self, port=0):
        self.http = testbed.Server(self.handle)
        await self.http.start(port=port)
        ENGINES[self.http.address] = self
        self.beats = asyncio.create_task(self.beat())
        self.bed.tasks.append(self.beats)
        await asyncio.sleep(0)
        return self

    def state(self):
        return {"kind": self.kind, "layers": {"from": self.layers[0], "to": self.layers[1], "version": 1}, "born": self.born}

    def entry(self):
        return {"service": self.service, "address": self.http.address, "zone": self.zone, "version": 1, "batchSlots": self.slots,
                "state": "ready", "coldLeftMs": 0, "seqNo": self.sequence, **self.state()}

    async def beat(self):
        while True:
            self.sequence += 1
            self.bed.store.put("servers", self.name, self.entry())
            self.last_beat = time.monotonic()
            await asyncio.sleep(testbed.HEARTBEAT)

    def crash(self):
        """Ends the engine for good. Its entry is removed after three heartbeat intervals of silence."""
        self.is_alive = False
        self.beats.cancel()
        self.http.stop()
        self.bed.record.write(f"crash     {self.name} at {self.http.address}")
        silence = self.last_beat + 3 * testbed.HEARTBEAT - time.monotonic()
        self.bed.tasks.append(asyncio.create_task(self.lapse(silence)))

    async def lapse(self, seconds):
        await asyncio.sleep(seconds)
        self.bed.store.remove("servers", self.name)
        self.bed.record.write(f"lapsed    the entry of {self.name}")

    async def handle(self, line, fields, body, writer):
        request = testbed.Request(line, fields, body)
        path = line.split(" ")[1]
        expected = fields.get("x-expect-instance", self.name)
        if expected != self.name:
            self.reply(writer, 421, {}, {"X-Not-Executed": "1", "At-Server": self.http.address})
        elif path == "/report":
            report = {"stage": "both", "models": [{"name": self.model["models"][0]["name"], "version": 1, "adapters": []}], "busy": self.is_busy,
                      "seqNo": self.orders, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 1000000, "handles": 0, "pace": 1.0,
                      "stalled": [], **self.state()}
            self.reply(writer, 200, report)
        elif path == "/order":
            self.order(json.loads(body), fields, writer)
        else:
            await self.stream(request, writer)
        if self.is_alive:
            await writer.drain()

    def reply(self, writer, status, body, fields=None):
        data = json.dumps(body).encode()
        more = "".join(f"{name}: {value}\r\n" for name, value in (fields or {}).items())
        writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{more}Content-Length: {len(data)}\r\n\r\n".encode() + data)

    def order(self, order, fields, writer):
        count = order.get("to", 0) - order.get("from", 0)
        text = (f"{order['op']} {order.get('from')}-{order.get('to')} ({count} layers, {count * self.model['layerMb']} of {self.mb} MB) "
                f"X-Expect-Instance {fields.get('x-expect-instance', 'not sent')}")
        if order["op"] != "place":
            return self.reply(writer, 404, {})
        wanted = (order["from"], order["to"])
        if wanted == self.layers:
            return self.reply(writer, 200, {})
        if self.is_busy or order.get("expectedRevision", self.orders) != self.orders:
            self.bed.record.write(f"order     {self.name} ({self.service}): {text}: 409")
            return self.reply(writer, 409, {})
        self.bed.record.write(f"order     {self.name} ({self.service}): {text}: 202")
        self.orders += 1
        self.reply(writer, 202, {})
        if count * self.model["layerMb"] > self.mb:
            self.crash_reason = text
            self.bed.record.write(f"broken    {self.name} ({self.service}) is ordered to hold more than its memory and crashes")
            return self.crash()
        self.is_busy = True
        self.bed.tasks.append(asyncio.create_task(self.finish_order(wanted)))

    async def finish_order(self, wanted):
        """Loads the layers that are new, in `loadS` times their share of the model."""
        added = len(set(range(*wanted)) - set(range(*self.layers)))
        await asyncio.sleep(self.model["models"][0]["loadS"] * added / self.model["layers"])
        self.layers, self.is_busy = wanted, False

    async def stream(self, request, writer):
        """Runs a stream over the engines of its chain, each of which has to hold its part."""
        fault = self.fault_in(request.fields.get("x-hop-count", ""))
        if fault:
            return self.reply(writer, fault[0], {}, {"X-Attempt-Id": request.id, "X-Not-Executed": "1", "At-Server": fault[1]})
        self.runs.append(request.id)
        writer.write(f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request.id}\r\nX-Response-Seal: {random.getrandbits(64):016x}\r\n"
                     "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
        for event in range(1 + int(request.fields.get("last-event-id", 0)), 21):
            data = f"id: {event}\ndata: token {event}\n\n".encode()
            writer.write(b"%x\r\n" % len(data) + data + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")

    def fault_in(self, chain):
        """Status and address of the first engine of the chain that can't serve its part; None if all can."""
        for part in chain.split(","):
            address, _, layers = part.partition("=")
            engine = ENGINES.get(address)
            if engine is None or not engine.is_alive:
                return 503, address
            first, last = (int(number) for number in layers.split("-"))
            if not engine.layers[0] <= first <= last <= engine.layers[1]:
                return 421, address
        return None
