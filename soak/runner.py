"""One run of the soak: its plan, its world and its callers, wired."""

import collections
import pathlib
import shutil
import tempfile
import time
from typing import NamedTuple

import curio

from soak import callers, checks, plan, world

LENGTH_S = 15.0
KEPT_LOGS = pathlib.Path('build') / 'soak'
_EXIT_POLL_S = 0.1


class Result(NamedTuple):
    """What a run came to.

    Attributes
    ----------
    violations : list of str
    counts : collections.Counter
        Faults, and answers by kind and status.
    """

    violations: list[str]
    counts: 'collections.Counter[str]'


def run(seed: int, length_s: float = LENGTH_S) -> Result:
    """Run a seed; the logs of one that fails are kept in `build/soak`."""
    found = checks.Checks()
    planned = plan.draw(seed, length_s)
    folder = pathlib.Path(tempfile.mkdtemp())
    try:
        curio.run(_run, planned, found, folder)
    finally:
        if found.violations:
            kept = KEPT_LOGS / f'seed-{seed}'
            shutil.rmtree(kept, ignore_errors=True)
            shutil.copytree(folder, kept)
        shutil.rmtree(folder)
    return Result(found.finish(), found.counts)


async def _run(
    planned: plan.Plan, found: checks.Checks, folder: pathlib.Path
) -> None:
    run_world = world.World(planned, found, folder)
    try:  # noqa: WPS501  # every failure ends the processes
        await run_world.start()
        await _play(planned, run_world)
        await run_world.stop()
    finally:
        run_world.kill()


async def _play(planned: plan.Plan, run_world: world.World) -> None:
    calling = callers.Callers(run_world, planned.seed)
    for host in run_world.hosts:
        await calling.wait_served(host)
    tasks = [
        await curio.spawn(calling.call, number)
        for number in range(planned.callers)
    ]
    tasks.append(await curio.spawn(calling.probe))
    tasks.append(await curio.spawn(_watch_exits, run_world))
    began_at = time.monotonic()
    faults = []
    for fault in planned.faults:
        await curio.sleep(max(0, began_at + fault.at_s - time.monotonic()))
        faults.append(await curio.spawn(run_world.disturb, fault))
    for fault_task in faults:
        await fault_task.join()
    for host in run_world.hosts:
        await calling.wait_served(host)
    # Changes are in force, and leaving backend servers get nothing.
    await curio.sleep(checks.IN_FORCE_S + 1)
    run_world.finished = True
    for task in tasks:
        await task.join()


async def _watch_exits(run_world: world.World) -> None:
    """Find processes that end by themselves, until the run is finished."""
    while not run_world.finished:
        await curio.sleep(_EXIT_POLL_S)
        for host in run_world.hosts:
            ended = not host.is_running and host.incarnation
            if ended and not host.expected_end and host.stopped_at is None:
                host.expected_end = True
                run_world.checks.ended(
                    host.name, f'status {host.returncode} {host.trouble()}'
                )
