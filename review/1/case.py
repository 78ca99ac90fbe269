"""LOST: the relay aborts after an engine is lost and an engine of another service gets its address."""
import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))
import bed as testbed
import model as models

HOST = "app.example"
REUSE_AFTER = 2.0  # reuseAfterS of the sheet
BOOKING_CLIENTS = 8
BOOKING_WORK = 0.3  # seconds; the sheet's mean is 0.06, its longest 0.45
MOST_UNANSWERED = 3  # the bound of LOST


def engine_model(name, layers, layer_mb, token_bytes, kind, mb):
    return {"batchSlots": 192, "kvCapacity": 100000, "kvTokenBytes": token_bytes, "linkMbps": 480000.0, "stride": 1,
            "models": [{"name": name, "pace": 1.0, "loadS": 1.0, "warmS": 0.0}], "step_ms": 0.85, "per_seq_ms": 0.00382,
            "context_per_k": 0.00512, "read_per_s": 196000.0, "pairs_per_m": 0.166, "chunk": 512, "report_lag_ms": 0.0,
            "loads_at_once": 6, "delays": [], "usual": {"prompt": 100, "answer": 20}, "layers": layers, "layerMb": layer_mb,
            "activationBytes": 29500, "pipeMbps": 13000.0, "kinds": [{"name": kind, "mb": mb, "pace": 1.0, "readX": 1.0}]}


LARGE = engine_model("model-large", 60, 1750.0, 5900000, "h100", 72000.0)  # three engines hold it
SMALL = engine_model("model-small", 8, 1000.0, 59000, "t4", 6000.0)  # two engines hold it


def configuration():
    route = {"host": HOST, "timeoutMs": 20000, "targetLatencyMs": 500, "priority": 1, "public": True}
    stream = {**route, "kind": "streaming", "targetGapMs": 200, "maxAttempts": 2, "sticky": True, "resumable": True}
    routes = [{**stream, "name": "r-large", "prefix": "/large/", "service": "large"}, {**stream, "name": "r-small", "prefix": "/small/", "service": "small"},
              {**route, "name": "r-book", "prefix": "/book/", "kind": "non_idempotent", "service": "desk", "maxAttempts": 1}]
    service = {"healthPath": "/health", "maxConnections": 1128}
    return {"version": 3, "routes": routes, "limits": testbed.LIMITS, "tenants": [],
            "services": [{**service, "name": "large", "engine": LARGE}, {**service, "name": "small", "engine": SMALL}, {**service, "name": "desk"}]}


async def book(engine, request, writer):
    await asyncio.sleep(BOOKING_WORK)
    engine.send(writer, request, "200 OK", b"booked " + request.id.encode())


async def stream_client(bed, relay):
    """Asks for one stream of the small model after the other, each on a new connection."""
    while True:
        attempt = bed.attempt_id("stream")
        try:
            reader, writer = await relay.connect()
            writer.write((f"GET /small/{attempt} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 20000\r\n"
                          f"X-Model: model-small\r\nX-Token-Usage: 100,20\r\nX-Prompt-Prefix: {attempt[-8:]}:100\r\n\r\n").encode())
            line, fields = await asyncio.wait_for(testbed.read_head(reader), 20)
            body = await asyncio.wait_for(testbed.read_body(reader, fields), 20)
            bed.record.write(f"answered  {attempt}: {line}, {body.count(b'id: ')} events")
            writer.close()
        except (OSError, EOFError, asyncio.TimeoutError) as error:
            bed.record.write(f"answered  {attempt}: nothing whole ({type(error).__name__})")
        await asyncio.sleep(0.05)


async def booking_client(bed, relay, lost):
    """Makes one booking after the other on a kept connection. Adds the ids of those that get no answer to `lost`, and ends then."""
    reader, writer = await relay.connect()
    while True:
        attempt = bed.attempt_id("booking")
        try:
            writer.write((f"POST /book/{attempt} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 4000\r\n"
                          "Content-Length: 4\r\n\r\nseat").encode())
            line, fields = await testbed.read_head(reader)
            await testbed.read_body(reader, fields)
            bed.record.write(f"answered  {attempt}: {line}")
        except (OSError, EOFError) as error:
            bed.record.write(f"answered  {attempt}: nothing ({type(error).__name__})")
            lost.append(attempt)
            return


async def lose_and_reuse(bed, engines):
    """Ends an engine of the small model for good; its address goes to an engine of the large one."""
    lost = max((engine for engine in engines if engine.service == "small"), key=lambda engine: len(engine.runs))
    beats = lost.sequence
    while lost.sequence == beats:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.05)
    address = lost.http.address
    lost.crash()
    await asyncio.sleep(REUSE_AFTER)
    added = await models.ModelEngine(bed, "large-9", "large", "h100", LARGE).start(port=int(address.split(":")[1]))
    bed.record.write(f"reused    {address} belongs to {added.name} of the service large now")
    engines.append(added)


async def play(bed):
    bed.store.put("op", "config", configuration())
    engines = [await models.ModelEngine(bed, f"large-{i}", "large", "h100", LARGE).start() for i in range(3)]
    engines += [await models.ModelEngine(bed, f"small-{i}", "small", "t4", SMALL).start() for i in range(2)]
    desks = [await bed.add_engine(f"desk-{i}", "desk", book) for i in range(2)]
    bed.engines += engines
    relay = await testbed.Relay(bed, "edge-a-1").start()
    for _ in range(60):
        await asyncio.sleep(0.2)
        if all(engine.layers[1] for engine in engines):
            break
    else:
        raise testbed.CouldNotRun(f"not all engines hold layers: {[engine.layers for engine in engines]}")
    bed.record.write("placed    " + ", ".join(f"{engine.name} {engine.layers[0]}-{engine.layers[1]}" for engine in engines))
    unanswered = []
    bed.tasks.append(asyncio.create_task(stream_client(bed, relay)))
    bed.tasks += [asyncio.create_task(booking_client(bed, relay, unanswered)) for _ in range(BOOKING_CLIENTS)]
    await asyncio.sleep(1)
    if bed.has_trouble:
        await lose_and_reuse(bed, engines)
        bed.engines.append(engines[-1])
    await asyncio.sleep(6)
    run = [attempt for desk in desks for attempt in desk.runs]
    lost = [attempt for attempt in unanswered if attempt in run]
    if relay.process.returncode is not None:
        end = (bed.folder / "edge-a-1.log").read_text(errors="replace").splitlines()[-1]
        bed.record.write(f"ended     edge-a-1 by itself with status {relay.process.returncode}: {end}")
    bed.record.write(f"checked   {len(run)} bookings run, {len(lost)} of them unanswered when their kept connection was closed")
    return len(lost) <= MOST_UNANSWERED


testbed.main(__file__, play)
