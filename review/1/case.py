"""A machine is added to a zone while the store does not answer."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import fleet  # noqa: E402

FOLDER = os.path.dirname(os.path.abspath(__file__))
ZONES = ["zone-a", "zone-b"]
EXECUTORS = 12
JOBS_PER_S = 20
ROUNDS = 3
SILENT_S = 4.1
ADDED_AFTER_S = 1.3


async def case():
    deployment = fleet.Deployment(ZONES)
    runs, answers = [], {}
    store = fleet.Store()
    await store.bind(deployment.ip(9, 1))
    try:
        for zone in range(2):
            for number in range(EXECUTORS):
                executor = fleet.Executor(
                    store, runs, f"i-{zone}-{number:02}", ZONES[zone],
                    deployment.ip(zone + 1, 100 + number), ["a", f"r-{zone}-{number // 4}"],
                )
                await executor.start()
                executor.register()
        store.put("op", "config", fleet.configuration(1, {"/quote/": ("svc", 0)}))
        for zone in range(2):
            for number in range(2):
                await deployment.start(deployment.add_node(zone, number + 1, store.addr))
        clients_of = list(deployment.nodes)
        await asyncio.gather(*(deployment.wait_ready(node) for node in deployment.nodes))
        await asyncio.sleep(3.0)
        stop = asyncio.Event()

        async def one(ident):
            body = fleet.job(1, 700, cpu=10000)
            answers[ident] = await fleet.submit(random.choice(clients_of), "/quote/", ident, body)

        async def clients():
            tasks = []
            while not stop.is_set():
                tasks.append(asyncio.create_task(one(fleet.job_id())))
                await asyncio.sleep(random.uniform(0.6, 1.4) / JOBS_PER_S)
            await asyncio.gather(*tasks)

        load = asyncio.create_task(clients())
        await asyncio.sleep(2.0)
        for number in range(ROUNDS):
            if fleet.TROUBLE:
                store.silent = True
                fleet.record("the store does not answer")
            await asyncio.sleep(ADDED_AFTER_S)
            node = deployment.add_node(number % 2, number + 3, store.addr)
            await deployment.start(node)
            await asyncio.sleep(SILENT_S - ADDED_AFTER_S)
            if fleet.TROUBLE:
                store.silent = False
                fleet.record("the store answers again")
            await asyncio.sleep(6.0)
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
