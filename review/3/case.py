"""Kills the owner of a zone while the owner that has lent it tasks is frozen for 0.28 s."""

import asyncio
import os
import random
import re
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import fleet  # noqa: E402

FOLDER = os.path.dirname(os.path.abspath(__file__))
ZONES = ["zone-a", "zone-b", "zone-c"]
JOBS_PER_S = 60
ROUNDS = 6
ROUND_S = 4.0
FREEZE_S = 0.28


async def is_owner(node):
    answer = await fleet.call((node.ip, 9464), "GET", "/metrics", timeout_s=1.0)
    return bool(answer and re.search(r"^ggb_is_owner\S* 1$", answer[1], re.M))


async def owner(deployment, zone):
    """Returns the running node that owns the zone."""
    for node in deployment.nodes:
        if node.zone == zone and node.process.returncode is None and await is_owner(node):
            return node
    return None


async def case():
    deployment = fleet.Deployment(ZONES)
    runs, answers = [], {}
    store = fleet.Store()
    await store.bind(deployment.ip(9, 1))
    executors = []
    try:
        # Zone a has a single small executor, so that most of its tasks run in the other zones.
        for zone, count in ((0, 1), (1, 10), (2, 10)):
            for number in range(count):
                executor = fleet.Executor(
                    store, runs, f"i-{zone}-{number:02}", ZONES[zone],
                    deployment.ip(zone + 1, 100 + number), ["a", f"r-{zone}"],
                )
                await executor.start()
                executor.register()
                executors.append(executor)
        store.put("op", "config", fleet.configuration(1, {"/quote/": ("svc", 0)}))
        for zone, count in ((0, 2), (1, 2), (2, 2)):
            for number in range(count):
                await deployment.start(deployment.add_node(zone, number + 1, store.addr))
        await asyncio.gather(*(deployment.wait_ready(node) for node in deployment.nodes))
        await asyncio.sleep(3.0)
        entry = deployment.nodes[0]
        stop = asyncio.Event()

        async def one(ident):
            body = fleet.job(1, 900, cpu=4000)
            answers[ident] = await fleet.submit(entry, "/quote/", ident, body)

        async def clients():
            tasks = []
            while not stop.is_set():
                tasks.append(asyncio.create_task(one(fleet.job_id())))
                await asyncio.sleep(random.uniform(0.6, 1.4) / JOBS_PER_S)
            await asyncio.gather(*tasks)

        async def restart(node):
            await asyncio.sleep(1.0)
            await node.process.wait()
            await deployment.start(node)

        load = asyncio.create_task(clients())
        await asyncio.sleep(3.0)
        for number in range(ROUNDS):
            await asyncio.sleep(ROUND_S + random.uniform(-0.3, 0.3))
            lender = await owner(deployment, 0)
            borrower = await owner(deployment, 1 + number % 2)
            if not fleet.TROUBLE or lender is None or borrower is None:
                continue
            kill_after_s = random.uniform(0.1, FREEZE_S - 0.03)
            deployment.send_signal(lender, signal.SIGSTOP)
            await asyncio.sleep(kill_after_s)
            deployment.send_signal(borrower, signal.SIGKILL)
            await asyncio.sleep(FREEZE_S - kill_after_s)
            deployment.send_signal(lender, signal.SIGCONT)
            asyncio.create_task(restart(borrower))
        await asyncio.sleep(2.0)
        stop.set()
        await load
        await asyncio.sleep(1.5)
    finally:
        await deployment.stop()
    done = sum(1 for answer in answers.values() if answer and answer[0] == 200)
    fleet.record(f"{len(answers)} jobs, {done} completed, {len(runs)} runs")
    if done < len(answers) / 2:
        raise fleet.CannotRun("fewer than half of the jobs completed")
    started = {run[0].split(".")[0] for run in runs}
    for ident, answer in answers.items():
        if answer and answer[0] in (429, 503) and ident in started:
            fleet.record(f"also refused although it ran: {ident}")
    return fleet.twice(runs)


fleet.main(FOLDER, case)
