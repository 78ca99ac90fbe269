"""Case 6: the relay does not start if a bound is a fraction; see claim.txt."""
import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
import standins as s

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {**s.BOUNDS, "graceS": 7.5 if TROUBLE else 8}
STARTS = 3  # starts of each process, each a short delay after it has ended
REQUESTS = 40


async def run(folder, record):
    prefix, guard = s.reserve_network()
    store = s.Store()
    await store.start(prefix + "2")
    engines = [s.Engine(f"shop-{n}", "shop", record) for n in (1, 2, 3)]
    for n, engine in enumerate(engines):
        await engine.start(prefix + str(11 + n))
    store.apply([s.configuration(7, [s.route("book", "/book/", "shop", "non_idempotent", 1)], ["shop"])])
    store.apply([engine.row(int(time.time() * 1000)) for engine in engines])
    hosts = [prefix + "21", prefix + "22"]
    ports = s.free_ports(hosts[0], ["front", "ready", "control", "peer"])
    relays = [s.Relay(f"edge-nl-west-a-{n + 1}", host, ports, hosts, store.address, folder, bounds=BOUNDS) for n, host in enumerate(hosts)]
    ends, served = [], 0
    record.write(f"bounds {BOUNDS}")
    try:
        for _ in range(STARTS):
            for relay in relays:
                if relay.process is None or relay.process.returncode is not None:
                    await relay.start()
                    record.write(f"{relay.name} is started")
            await asyncio.sleep(2)
            for relay in relays:
                if relay.process.returncode is not None:
                    ends.append((relay.name, relay.process.returncode))
                    record.write(f"{relay.name} has ended by itself with status {relay.process.returncode}: {relay.log.read_text(errors='replace').replace(str(folder) + '/', '').strip()[-200:]}")
        for number in range(REQUESTS):
            fields = {"Host": "shop.example", "X-Attempt-Id": f"c{number}", "X-Deadline-Ms": "4000"}
            answer = await s.request(hosts[number % 2], ports["front"], "POST", "/book/x", fields, b"seat")
            record.write(f"c{number} got {answer[0] if answer else 'no connection'}")
            served += bool(answer and answer[0] == 200)
        text = f"{len(ends)} ends by themselves in {STARTS} starts of {len(relays)} processes; {served} of {REQUESTS} requests served"
        isBroken = len(ends) >= STARTS * len(relays) and served == 0
        if not isBroken and served < REQUESTS:
            return 2, "the case could not run: " + text
        return (1 if isBroken else 0), text
    finally:
        for relay in relays:
            await relay.end()
        for engine in engines:
            engine.stop()
        guard.close()


sys.exit(s.run_case(HERE, run))
