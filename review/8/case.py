"""Case 8: SIGHUP ends a relay that is starting; see claim.txt."""
import asyncio
import os
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))
import standins as s

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STARTS = 3  # of each process
SIGNAL_AFTER = 0.003  # seconds from the start of the program to SIGHUP


async def run(folder, record):
    prefix, guard = s.reserve_network()
    store = s.Store()
    await store.start(prefix + "2")
    engine = s.Engine("shop-1", "shop", record)
    await engine.start(prefix + "11")
    store.apply([s.configuration(7, [s.route("book", "/book/", "shop", "non_idempotent", 1)], ["shop"])])
    store.apply([engine.row(int(time.time() * 1000))])
    hosts = [prefix + "21", prefix + "22"]
    ports = s.free_ports(hosts[0], ["front", "ready", "control", "peer"])
    relays = [s.Relay(f"edge-nl-west-a-{n + 1}", host, ports, hosts, store.address, folder) for n, host in enumerate(hosts)]
    ends, served = 0, 0
    try:
        for _ in range(STARTS):
            for relay in relays:
                await relay.end()  # planned: each start of the case is a new process
                await relay.start()
                record.write(f"{relay.name} is started")
                if TROUBLE:
                    await asyncio.sleep(SIGNAL_AFTER)
                    relay.send(signal.SIGHUP)
                    record.write(f"SIGHUP {relay.name}")
            await asyncio.sleep(2)
            for relay in relays:
                if relay.process.returncode is not None:
                    ends += 1
                    record.write(f"{relay.name} has ended with {relay.process.returncode}")
                    continue
                attempt = f"{relay.name[-1]}-{relay.starts}"
                fields = {"Host": "shop.example", "X-Attempt-Id": attempt, "X-Deadline-Ms": "4000"}
                answer = await s.request(relay.host, ports["front"], "POST", "/book/x", fields, b"seat")
                record.write(f"{attempt} got {answer[0] if answer else 'no answer'}")
                served += bool(answer and answer[0] == 200)
        text = f"{ends} ends by themselves in {STARTS} starts of {len(relays)} processes; {served} requests served"
        if ends == 0 and served < STARTS * len(relays):
            return 2, "the case could not run: " + text
        return (1 if ends >= STARTS * len(relays) else 0), text
    finally:
        for relay in relays:
            await relay.end()
        engine.stop()
        guard.close()


sys.exit(s.run_case(HERE, run))
