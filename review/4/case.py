"""The open connections to the store go silent; a later configuration adds and drops a route."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import fleet  # noqa: E402

FOLDER = os.path.dirname(os.path.abspath(__file__))
ZONES = ["zone-a", "zone-b", "zone-c"]
# A reset of connections ends the time in touch; it is over `contactMs` after it.
CALM_S = fleet.BOUNDS["contactMs"] / 1000
DEADLINE_MS = fleet.BOUNDS["configDeadlineMs"]
WATCH_S = 9.0


async def case():
    deployment = fleet.Deployment(ZONES)
    runs, broken = [], []
    store = fleet.Store()
    await store.bind(deployment.ip(9, 1))
    link = fleet.Link(store.addr)
    await link.bind(deployment.ip(9, 2))
    keep = {"/keep/": ("svc", 0)}
    try:
        for zone in range(3):
            for number in range(2):
                executor = fleet.Executor(
                    store, runs, f"i-{zone}-{number:02}", ZONES[zone],
                    deployment.ip(zone + 1, 100 + number), ["a", f"r-{zone}"],
                )
                await executor.start()
                executor.register()
        store.put("op", "config", fleet.configuration(10, {**keep, "/old/": ("svc", 0)}))
        for zone in range(3):
            for number in range(2):
                await deployment.start(deployment.add_node(zone, number + 1, link.addr))
        await asyncio.gather(*(deployment.wait_ready(node) for node in deployment.nodes))
        await asyncio.sleep(4.0)
        store.put("op", "config", fleet.configuration(13, {**keep, "/old/": ("svc", 0)}))
        fleet.record("operator: version 13 acknowledged, the routes are as before")
        await asyncio.sleep(1.0)
        if fleet.TROUBLE:
            count = link.silence()
            fleet.record(f"{count} open connections to the store go silent, new ones work")
        await asyncio.sleep(CALM_S + 0.5)
        store.put("op", "config", fleet.configuration(17, {**keep, "/new/": ("svc", 0)}))
        acknowledged_ms = fleet.now_ms()
        fleet.record("operator: version 17 acknowledged; adds /new/, drops /old/")

        async def ask(node, prefix):
            sent_ms = fleet.now_ms()
            answer = await fleet.submit(node, prefix, fleet.job_id(), fleet.job(1, 20))
            late_ms = sent_ms - acknowledged_ms - DEADLINE_MS
            if late_ms <= 0 or answer is None:
                return
            if prefix == "/new/" and answer[0] == 404:
                broken.append(
                    f"CONFIG {node.name}: 404 on the added route, sent {late_ms:.0f} ms after the "
                    "deadline"
                )
            if prefix == "/old/" and answer[0] == 200:
                broken.append(
                    f"CONFIG {node.name}: ran a job of the dropped route, sent {late_ms:.0f} ms "
                    "after the deadline"
                )

        until = fleet.now_ms() + WATCH_S * 1000
        while fleet.now_ms() < until:
            await asyncio.gather(
                *(ask(node, prefix) for node in deployment.nodes for prefix in ("/new/", "/old/"))
            )
            await asyncio.sleep(0.25)
        answer = await fleet.submit(deployment.nodes[0], "/keep/", fleet.job_id(), fleet.job(1, 20))
        if not answer or answer[0] != 200:
            raise fleet.CannotRun("the route that stays does not serve")
    finally:
        await deployment.stop()
    return broken


fleet.main(FOLDER, case)
