"""A request is in progress when the only machine of its zone is stopped gracefully."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import lab3  # noqa: E402

GRACE_MS = 6000
LOSS_SLACK_MS = 200
TASK_MS = 3000
DEADLINE_MS = 20000


async def case(folder, trouble):
    zones = ["qc-east-a", "qc-east-b", "qc-east-c"]
    lab = lab3.Lab(folder, {zone: 1 for zone in zones}, {zone: [lab3.SERVICE] * 4 for zone in zones},
                   [lab3.route("/lohu930/", "r-1")])
    record = lab.record
    try:
        await lab.start()
        await asyncio.sleep(4.0)
        node = lab.nodes[0]
        warm = await lab3.request(node.front, "POST", f"/lohu930/{lab3.new_id()}", lab3.HOST,
                                  lab3.job(14000, 50, [lab3.step(2, 14000, 50)]), 1500, 1.5)
        record.add(f"client: a job of 50 ms: {warm}")
        if warm.status != 200:
            raise RuntimeError("the calm deployment does not answer")
        job = lab3.new_id()
        body = lab3.job(14000, TASK_MS, [lab3.step(2, 14000, TASK_MS)])
        record.add(f"client: POST /lohu930/{job} to {node.name}, 2 tasks of {TASK_MS} ms, "
                   f"deadline {DEADLINE_MS} ms")
        waiting = asyncio.create_task(lab3.request(
            node.front, "POST", f"/lohu930/{job}", lab3.HOST, body, DEADLINE_MS, DEADLINE_MS / 1000))
        await asyncio.sleep(0.3)
        sigterm_ms = None
        if trouble:
            sigterm_ms = lab3.now_ms()
            node.signal(signal.SIGTERM)
            try:
                await asyncio.wait_for(node.process.wait(), GRACE_MS / 1000)
                record.add(f"machine {node.name}: process ended "
                           f"{lab3.now_ms() - sigterm_ms:.0f} ms after SIGTERM")
            except asyncio.TimeoutError:
                node.signal(signal.SIGKILL)
        answer = await waiting
        record.add(f"client: {job}: {answer}")
        return judge(lab, job, answer, sigterm_ms)
    finally:
        await lab.stop()


def judge(lab, job, answer, sigterm_ms):
    """LOST: the connection ended without a complete answer around a SIGTERM, without an excuse."""
    if answer.status is not None or sigterm_ms is None:
        return answer.status is None
    runs = lab.runs_of(job)
    ended_ms = answer.ended_ms
    around = sigterm_ms <= ended_ms <= sigterm_ms + GRACE_MS + 1000
    passed_on = bool(runs)
    late = ended_ms > answer.sent_ms + LOSS_SLACK_MS
    deadline_reached = ended_ms >= answer.sent_ms + DEADLINE_MS
    last_sixth_ms = sigterm_ms + GRACE_MS * 5 / 6
    at_work = any((run.ended_ms or lab3.now_ms()) >= last_sixth_ms for _, run in runs)
    lab.record.add(f"check: around the SIGTERM {around}, passed on {passed_on}, deadline reached "
                   f"{deadline_reached}, an executor at work in the last sixth of graceS {at_work}")
    return around and (passed_on or late) and not deadline_reached and not at_work


lab3.main(case)
