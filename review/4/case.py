"""Case 4: the removal of an engine does not reach an entry that copies its tables at second hand; see claim.txt."""
import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
import standins as s

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {**s.BOUNDS, "drainMs": 3000, "configMs": 3000, "contactMs": 4000, "budgetSlack": 224}  # warraq-amman-grown
CUT = 5.5  # seconds for which the first entry is cut off from the store
REMOVED_AFTER = 0.5  # seconds from the begin of the cut
DROPPED_AFTER = 0.6  # the same, for the history of the store
WATCHED = 14.0  # seconds after the removal; the engine serves on for all of them
CLIENTS = 4


async def client_loop(host, port, record, counts, over, name):
    client, number = s.Client(host, port), 0
    while not over.is_set():
        number += 1
        fields = {"Host": "shop.example", "X-Attempt-Id": f"{name}-{number}", "X-Deadline-Ms": "4000"}
        answer = await client.send("POST", "/book/x", fields, b"seat")
        status = answer[0] if answer else "none"
        counts[status] = counts.get(status, 0) + 1
        record.write(f"{fields['X-Attempt-Id']} got {status}")
        await asyncio.sleep(0.05)
    client.close()


async def run(folder, record):
    prefix, guard = s.reserve_network()
    store = s.Store()
    await store.start(prefix + "2")
    proxies = [s.Proxy(store.address) for _ in range(3)]
    for n, proxy in enumerate(proxies):
        await proxy.start(prefix + str(3 + n))
    engines = [s.Engine(f"shop-{n}", "shop", record) for n in (1, 2, 3)]
    for n, engine in enumerate(engines):
        await engine.start(prefix + str(11 + n))
    leaving = engines[2]
    born = int(time.time() * 1000)
    store.apply([s.configuration(7, [s.route("book", "/book/", "shop", "non_idempotent", 1)], ["shop"])])
    store.apply([engine.row(born) for engine in engines[:2]])
    hosts = [prefix + "21", prefix + "22", prefix + "23"]
    ports = s.free_ports(hosts[0], ["front", "ready", "control", "peer"])
    relays = [s.Relay(f"edge-nl-west-a-{n + 1}", host, ports, hosts, proxies[n].address, folder, bounds=BOUNDS) for n, host in enumerate(hosts)]
    over, tasks, counts = asyncio.Event(), [], {}
    try:
        for relay in relays:
            await relay.start()
        for relay in relays:
            if not await relay.wait_ready():
                return 2, f"{relay.name} is not ready"
        await asyncio.sleep(2)
        store.apply([leaving.row(int(time.time() * 1000))])
        record.write(f"{leaving.name} has started")
        await asyncio.sleep(2)
        sources = [(await relay.state()).get("tablesFrom") for relay in relays]
        if sorted(sources)[0] != "" or len(set(sources)) != 2:
            return 2, f"one entry should read and two should copy: {sources}"
        reader = sources.index("")
        proxy = proxies[reader]
        last = [relay for n, relay in enumerate(relays) if n != reader][1]
        record.write(f"{relays[reader].name} reads the store, the others copy from it; the clients use {last.name}")
        tasks = [asyncio.ensure_future(client_loop(last.host, ports["front"], record, counts, over, f"c{n}")) for n in range(CLIENTS)]
        await asyncio.sleep(5)
        cut_at = record.now()
        if TROUBLE:
            proxy.silent = True
            record.write(f"{relays[reader].name} is cut off from the store for {CUT} s")
        await asyncio.sleep(REMOVED_AFTER)
        store.apply(removals=[("servers", leaving.name)])
        removed_at = record.now()
        record.write(f"the store acknowledges that {leaving.name} is gone; it serves on for {WATCHED} s")
        await asyncio.sleep(cut_at + DROPPED_AFTER - record.now())
        if TROUBLE:
            store.drop_history()
            record.write("the store discards its history")
        await asyncio.sleep(cut_at + CUT - record.now())
        if TROUBLE:
            proxy.silent = False
            record.write("the cut is over")
        await asyncio.sleep(removed_at + WATCHED - record.now())
        over.set()
        await asyncio.gather(*tasks)
        # Only what comes when all machines and the store have been without disruption for contactMs.
        from_time = max(removed_at + BOUNDS["drainMs"] / 1000, cut_at + CUT + BOUNDS["contactMs"] / 1000)
        late = [(at, attempt) for at, attempt in leaving.arrivals if at > from_time]
        for at, attempt in late:
            record.write(f"{attempt} reached {leaving.name} {at - removed_at:.2f} s after the acknowledgement")
        text = f"answers {counts}; {len(late)} requests reached {leaving.name} later than {from_time - removed_at:.1f} s after the acknowledgement"
        if counts.get(200, 0) < 100:
            return 2, "the case could not run: " + text
        return (1 if late else 0), text
    finally:
        over.set()
        for relay in relays:
            await relay.end()
        for engine in engines:
            engine.stop()
        guard.close()


sys.exit(s.run_case(HERE, run))
