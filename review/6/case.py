"""Executors crash and start again under their ids at once, while jobs arrive."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from lab import *  # noqa: E402,F403

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EXECUTORS, CRASHES, DOWN_MS = 36, int(os.environ.get("CRASHES", "24")), 50
# Listings arrive later than answers to starts: "Responses on different connections may overtake each other."
LISTING_LATE_MS = float(os.environ.get("LATE", "25"))
STEPS = [{"count": 2, "cpu": 1000, "memMb": 64, "estimateMs": 170}]
SPEC = [{"ms": 170, "cpu": 1000, "mem": 64}]
JOBS_PER_S = 50


async def main():
    lab = Lab(zones=1, nodes=2)
    try:
        await lab.start_store([SERVICE], [ROUTE])
        for number in range(EXECUTORS):
            executor = await lab.add_executor(0, number, cpu=32000, mem=131072, closes=True)
            executor.listing_late_ms = LISTING_LATE_MS
        await lab.start_nodes()
        jobs, end = [], now_ms() + 2000 * (CRASHES + 1)

        async def clients():
            while now_ms() < end:
                jobs.append(asyncio.ensure_future(
                    lab.submit(lambda: random.choice(lab.nodes), job_id(), STEPS, SPEC, 3000)))
                await asyncio.sleep(random.expovariate(JOBS_PER_S))

        async def crashes():
            for _ in range(CRASHES if TROUBLE else 0):
                await asyncio.sleep(1.9)
                last = lab.runs[-1]["executor"]
                executor = next(executor for executor in lab.executors if executor.id == last)
                executor.crash_dark()
                await asyncio.sleep(DOWN_MS / 1000.0)
                executor.start_again()

        await asyncio.gather(clients(), crashes())
        answers = await asyncio.gather(*jobs)
        if sum(answer[0] == 200 for answer in answers) < len(answers) * (0.5 if TROUBLE else 0.95):
            return 2, ["too few jobs were served"]
        found = lab.breaks()
        return (1 if found else 0), found
    except (RuntimeError, OSError) as error:
        return 2, [str(error)]
    finally:
        lab.stop()
        lab.record.write(os.path.join(HERE, "record.txt"))


try:
    code, found = asyncio.run(main())
except Exception as error:  # the case couldn't run
    code, found = 2, [repr(error)]
print("\n".join(found) if found else "no rule is broken")
sys.exit(code)
