"""Runs one seed: starts the processes, injects the faults, checks results."""

import collections
import pathlib
import shutil
import tempfile
import time
from typing import NamedTuple

import curio

from soak import callers, checks, plan, world

LENGTH_S = 15.0
KEPT_LOGS_FOLDER = pathlib.Path('build') / 'soak'
_EXIT_POLL_S = 0.1


class Result(NamedTuple):
    """Result of a run.

    Attributes
    ----------
    violations : list of str
    counts : collections.Counter
        Number of faults by kind, and of answers by kind and status.
    """

    violations: list[str]
    counts: 'collections.Counter[str]'


def run(seed: int, length_s: float = LENGTH_S) -> Result:
    """Run a seed; a run with violations keeps its logs in `build/soak`."""
    run_checks = checks.Checks()
    run_plan = plan.draw(seed, length_s)
    folder = pathlib.Path(tempfile.mkdtemp())
    try:
        curio.run(_run, run_plan, run_checks, folder)
    finally:
        if run_checks.violations:
            kept_folder = KEPT_LOGS_FOLDER / f'seed-{seed}'
            shutil.rmtree(kept_folder, ignore_errors=True)
            shutil.copytree(folder, kept_folder)
        shutil.rmtree(folder)
    return Result(run_checks.finish(), run_checks.counts)


async def _run(
    run_plan: plan.Plan, run_checks: checks.Checks, folder: pathlib.Path
) -> None:
    run_world = world.World(run_plan, run_checks, folder)
    try:  # noqa: WPS501  # ends the processes on every failure
        await run_world.start()
        await _run_faults(run_plan, run_world)
        await run_world.stop()
    finally:
        run_world.kill()


async def _run_faults(run_plan: plan.Plan, run_world: world.World) -> None:
    run_callers = callers.Callers(run_world, run_plan.seed)
    for host in run_world.hosts:
        await run_callers.wait_until_serving(host)
    tasks = [
        await curio.spawn(run_callers.call, number)
        for number in range(run_plan.callers)
    ]
    tasks.append(await curio.spawn(run_callers.probe))
    tasks.append(await curio.spawn(_watch_exits, run_world))
    started_at = time.monotonic()
    fault_tasks = []
    for fault in run_plan.faults:
        await curio.sleep(max(0, started_at + fault.start_s - time.monotonic()))
        fault_tasks.append(await curio.spawn(run_world.inject_fault, fault))
    for fault_task in fault_tasks:
        await fault_task.join()
    for host in run_world.hosts:
        await run_callers.wait_until_serving(host)
    # After this time every change must be in force, and draining backend
    # servers must get no work.
    await curio.sleep(checks.PROPAGATION_LIMIT_S + 1)
    run_world.is_finished = True
    for task in tasks:
        await task.join()


async def _watch_exits(run_world: world.World) -> None:
    """Report processes that exit by themselves until the run is finished."""
    while not run_world.is_finished:
        await curio.sleep(_EXIT_POLL_S)
        for host in run_world.hosts:
            has_exited = not host.is_running and host.incarnation
            if (
                has_exited
                and not host.is_exit_expected
                and host.stop_requested_at is None
            ):
                host.is_exit_expected = True
                run_world.checks.record_process_failure(
                    host.name, f'status {host.returncode} {host.failure_log()}'
                )
