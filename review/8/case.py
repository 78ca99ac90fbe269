"""Case 8: a relay without others that was cut off from the store keeps an engine that has left; see claim.txt."""
import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
import standins as s

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CUT = 5.5  # seconds for which the relay is cut off from the store at most; the cut ends right after a try of the relay
REMOVED_AFTER = 3.5  # seconds from the begin of the cut
SERVES_ON = 7.0  # seconds that the engine serves after its entry was removed
ROUNDS = 3
CLIENTS = 6
DRAIN = s.BOUNDS["drainMs"] / 1000
CONTACT = s.BOUNDS["contactMs"] / 1000


async def client_loop(host, port, record, counts, over, name):
    client, number = s.Client(host, port), 0
    while not over.is_set():
        number += 1
        fields = {"Host": "shop.example", "X-Attempt-Id": f"{name}-{number}", "X-Deadline-Ms": "4000"}
        answer = await client.send("POST", "/book/x", fields, b"seat")
        status = answer[0] if answer else "none"
        counts[status] = counts.get(status, 0) + 1
        record.write(f"{fields['X-Attempt-Id']} got {status}")
        await asyncio.sleep(0.03)
    client.close()


async def run_round(number, prefix, store, proxy, record):
    """Returns the late requests of one round."""
    leaving = s.Engine(f"shop-l{number}", "shop", record)
    await leaving.start(prefix + str(30 + number))
    store.apply([leaving.row(int(time.time() * 1000))])
    record.write(f"{leaving.name} has started")
    await asyncio.sleep(4)
    cut_at = record.now()
    if TROUBLE:
        proxy.cut()
        record.write("the relay is cut off from the store")
    await asyncio.sleep(REMOVED_AFTER)
    store.apply(removals=[("servers", leaving.name)])
    removed_at = record.now()
    record.write(f"the store acknowledges that {leaving.name} is gone; it serves on for {SERVES_ON} s")
    ends_at = cut_at
    if TROUBLE:
        await asyncio.sleep(cut_at + CUT - 1.4 - record.now())  # tries are at most 1.3 s apart
        await proxy.wait_try(cut_at + CUT - record.now())
        proxy.refuse = False
        ends_at = record.now()
        record.write(f"the cut is over, after {ends_at - cut_at:.2f} s")
    await asyncio.sleep(removed_at + SERVES_ON - record.now())
    in_touch_at = max(ends_at + CONTACT, removed_at + DRAIN)
    late = [(at, attempt) for at, attempt in leaving.arrivals if at > in_touch_at]
    leaving.stop()
    record.write(f"{leaving.name} has left")
    for at, attempt in late:
        record.write(f"{attempt} reached {leaving.name} {at - removed_at:.2f} s after the acknowledgement, {at - ends_at:.2f} s after the cut")
    return late


async def run(folder, record):
    prefix, guard = s.reserve_network()
    store = s.Store()
    await store.start(prefix + "2")
    proxy = s.Proxy(store.address)
    await proxy.start(prefix + "3")
    engines = [s.Engine(f"shop-{n}", "shop", record) for n in (1, 2)]
    for n, engine in enumerate(engines):
        await engine.start(prefix + str(11 + n))
    store.apply([s.configuration(7, [s.route("book", "/book/", "shop", "non_idempotent", 1)], ["shop"])])
    store.apply([engine.row(int(time.time() * 1000)) for engine in engines])
    host = prefix + "21"
    ports = s.free_ports(host, ["front", "ready", "control", "peer"])
    relay = s.Relay("edge-nl-west-a-1", host, ports, [host], proxy.address, folder)
    over, tasks, counts, late = asyncio.Event(), [], {}, []
    try:
        await relay.start()
        if not await relay.wait_ready():
            return 2, f"{relay.name} is not ready"
        tasks = [asyncio.ensure_future(client_loop(host, ports["front"], record, counts, over, f"c{n}")) for n in range(CLIENTS)]
        for number in range(ROUNDS):
            late.append(await run_round(number, prefix, store, proxy, record))
        over.set()
        await asyncio.gather(*tasks)
        text = f"answers {counts}; late requests at the engine that had left, by round: {[len(one) for one in late]}"
        if counts.get(200, 0) < 100:
            return 2, "the case could not run: " + text
        return (1 if any(late) else 0), text
    finally:
        over.set()
        await relay.end()
        for engine in engines:
            engine.stop()
        guard.close()


sys.exit(s.run_case(HERE, run))
