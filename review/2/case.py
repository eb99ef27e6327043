"""A restarted process takes a zone over before all lapsed entries of executors are back."""

import asyncio
import os
import random
import re
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import fleet  # noqa: E402

FOLDER = os.path.dirname(os.path.abspath(__file__))
ZONES = ["zone-a"]
EXECUTORS = 12
JOBS_PER_S = 20
ROUNDS = 4
SILENT_S = 4.1
# Entries are removed after three heartbeat intervals without a heartbeat.
LAPSE_S = 3 * fleet.HEARTBEAT_MS / 1000
# Lapsed entries are back within this time of the store's return.
BACK_S = 2.0
RESTART_S = 0.5


async def is_owner(node):
    answer = await fleet.call((node.ip, 9464), "GET", "/metrics", timeout_s=1.0)
    return bool(answer and re.search(r"^ggb_is_owner\S* 1$", answer[1], re.M))


async def case():
    deployment = fleet.Deployment(ZONES)
    runs, answers, executors = [], {}, []
    store = fleet.Store()
    await store.bind(deployment.ip(9, 1))

    async def lapse(executor):
        """The entry runs out while the store is away, and the executor writes it again."""
        # The last heartbeat before the outage is up to one interval old.
        await asyncio.sleep(LAPSE_S - random.uniform(0.0, fleet.HEARTBEAT_MS / 1000))
        if not store.silent:
            return
        store.remove("servers", executor.id)
        fleet.record(f"the entry of {executor.id} lapses")
        while store.silent:
            await asyncio.sleep(0.01)
        await asyncio.sleep(random.uniform(0.0, BACK_S))
        executor.register()

    async def restart(node):
        await node.process.wait()
        await asyncio.sleep(RESTART_S)
        await deployment.start(node)

    try:
        for number in range(EXECUTORS):
            executor = fleet.Executor(
                store, runs, f"i-{number:02}", ZONES[0], deployment.ip(1, 100 + number),
                ["a", f"r-{number // 4}"],
            )
            await executor.start()
            executor.register()
            executors.append(executor)
        store.put("op", "config", fleet.configuration(1, {"/quote/": ("svc", 0)}))
        for number in range(2):
            await deployment.start(deployment.add_node(0, number + 1, store.addr))
        await asyncio.gather(*(deployment.wait_ready(node) for node in deployment.nodes))
        await asyncio.sleep(3.0)
        stop = asyncio.Event()

        async def one(ident):
            nodes = [node for node in deployment.nodes if node.process.returncode is None]
            if nodes:
                body = fleet.job(1, 700, cpu=10000)
                answers[ident] = await fleet.submit(nodes[0], "/quote/", ident, body)

        async def clients():
            tasks = []
            while not stop.is_set():
                tasks.append(asyncio.create_task(one(fleet.job_id())))
                await asyncio.sleep(random.uniform(0.6, 1.4) / JOBS_PER_S)
            await asyncio.gather(*tasks)

        load = asyncio.create_task(clients())
        await asyncio.sleep(2.0)
        for _ in range(ROUNDS):
            owners = [node for node in deployment.nodes if await is_owner(node)]
            others = [node for node in deployment.nodes if node not in owners]
            if not owners or not others:
                raise fleet.CannotRun("the zone has no owner or no other process")
            if fleet.TROUBLE:
                store.silent = True
                fleet.record("the store does not answer")
                for executor in executors:
                    asyncio.create_task(lapse(executor))
            await asyncio.sleep(SILENT_S - RESTART_S + 0.05)
            # The process that does not own the zone is restarted, and starts as the store is back.
            if fleet.TROUBLE:
                deployment.send_signal(others[0], signal.SIGKILL)
                asyncio.create_task(restart(others[0]))
            await asyncio.sleep(RESTART_S - 0.05)
            if fleet.TROUBLE:
                store.silent = False
                fleet.record("the store answers again")
            await asyncio.sleep(0.7)
            # Planned work: the owner is stopped and started.
            deployment.send_signal(owners[0], signal.SIGTERM)
            asyncio.create_task(restart(owners[0]))
            await asyncio.sleep(10.0)
        stop.set()
        await load
        await asyncio.sleep(1.5)
    finally:
        await deployment.stop()
    done = sum(1 for answer in answers.values() if answer and answer[0] == 200)
    fleet.record(f"{len(answers)} jobs, {done} completed, {len(runs)} runs")
    if done < len(answers) / 2:
        raise fleet.CannotRun("fewer than half of the jobs completed")
    return fleet.twice(runs)


fleet.main(FOLDER, case)
