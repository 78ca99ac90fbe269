#!/usr/bin/env python3
"""Runs all checks that must pass before a change is merged; those that leave the machine idle run beside one another."""
import argparse
import os
import pathlib
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field

ROOT = pathlib.Path(__file__).resolve().parent.parent
LOGS = ROOT / "build-ci"
POLL_SECONDS = 0.2
TERMINATE_SECONDS = 5  # from SIGTERM to SIGKILL
FAILURE_LINES = 80     # of the log of a step that failed
SUCCESS_LINES = 3      # of the log of any other
LINT_JOBS = max(1, (os.cpu_count() or 2) // 2)  # the other half is for what runs beside it


@dataclass
class Step:
    """A command of the project, and the steps that have to pass before it begins."""

    name: str
    command: list
    after: list = field(default_factory=list)
    process: subprocess.Popen = None
    started: float = 0
    seconds: float = 0
    result: str = "not run"

    def log(self):
        return LOGS / f"{self.name}.log"

    def start(self):
        self.started = time.monotonic()
        with open(self.log(), "wb") as log:
            # A process group of its own, so that an interrupted run can end what the step has started.
            self.process = subprocess.Popen(self.command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=subprocess.STDOUT, start_new_session=True)
        self.result = "running"

    def poll(self):
        """Returns whether the step has ended."""
        status = self.process.poll()
        if status is None:
            return False
        self.seconds = time.monotonic() - self.started
        self.result = "passed" if status == 0 else f"failed ({status})"
        return True

    def stop(self):
        end_group(self.process)
        self.seconds = time.monotonic() - self.started
        self.result = "stopped"

    def tail(self, lines):
        return self.log().read_text(errors="replace").splitlines()[-lines:]


def end_group(process):
    """Ends a process and those of its group, first by request."""
    deadline = time.monotonic() + TERMINATE_SECONDS
    for number in (signal.SIGTERM, signal.SIGKILL):
        try:
            os.killpg(process.pid, number)
        except ProcessLookupError:
            break
        while process.poll() is None and time.monotonic() < deadline:
            time.sleep(POLL_SECONDS)
    process.wait()


def all_steps():
    """The steps in the order in which they are named. Tests and the soak measure times: nothing that fills the cores runs beside them but
    the tests of the sanitizer build, whose bounds hold beside the lint."""
    return [
        Step("tests", ["tools/test.sh"]),
        Step("generated", ["tools/generate", "--check"], after=["tests"]),
        Step("soak", ["python3", "tests/soak.py", "build"], after=["tests"]),
        Step("demo", ["tools/demo.sh"], after=["soak"]),
        Step("lint", ["tools/lint.sh", "--jobs", str(LINT_JOBS)], after=["demo", "generated"]),
        Step("sanitizers", ["tools/test.sh", "--sanitize"], after=["demo", "generated"]),
        Step("fuzzers", ["tools/fuzz.sh", "50000"], after=["demo", "generated"]),
    ]


def run(steps):
    """Runs the steps until all have passed or one has failed; returns the failed one."""
    by_name = {step.name: step for step in steps}
    while any(step.result in ("not run", "running") for step in steps):
        for step in steps:
            if step.result == "not run" and all(by_name[name].result == "passed" for name in step.after):
                step.start()
                print(f"begins: {step.name} ({' '.join(step.command)})", flush=True)
            elif step.result == "running" and step.poll():
                print(f"{step.result}: {step.name}, {step.seconds:.0f} s", flush=True)
                if step.result != "passed":
                    return step
        time.sleep(POLL_SECONDS)
    return None


def print_table(steps):
    print(f"{'step':12} {'result':12} {'seconds':>7}  log")
    for step in steps:
        print(f"{step.name:12} {step.result:12} {step.seconds:7.0f}  {step.log().relative_to(ROOT)}")


def print_known_red():
    """Prints the tests that are known to fail, and runs them; CI passes over just these."""
    print((ROOT / "KNOWN-RED.txt").read_text(), flush=True)
    result = subprocess.run(["build/parsley-tests", "--run_test=@known_red", "--log_level=error"], cwd=ROOT, stdout=subprocess.PIPE,
                            stderr=subprocess.STDOUT, check=False)
    print("\n".join(result.stdout.decode(errors="replace").splitlines()[-25:]))


def interrupt(number, frame):
    raise KeyboardInterrupt


def main():
    parser = argparse.ArgumentParser(prog=".ci/run", description=__doc__, epilog="Logs are in build-ci, one of each step.", add_help=True)
    parser.error = lambda message: (print(f".ci/run: {message}", file=sys.stderr), sys.exit(2))
    parser.parse_args()
    signal.signal(signal.SIGTERM, interrupt)
    LOGS.mkdir(exist_ok=True)
    steps = all_steps()
    started = time.monotonic()
    failed = None
    try:
        failed = run(steps)
        is_interrupted = False
    except KeyboardInterrupt:
        is_interrupted = True
    finally:
        for step in steps:
            if step.result == "running":
                step.stop()
    for step in steps:
        if step.result == "passed":
            print("\n".join(step.tail(SUCCESS_LINES)))
    if failed:
        print(f"FAILED: {failed.name}; alone: {' '.join(failed.command)}")
        print("\n".join(failed.tail(FAILURE_LINES)))
    print_table(steps)
    print(f"in all: {time.monotonic() - started:.0f} s", flush=True)
    if failed or is_interrupted:
        return 1
    print_known_red()
    return 0


if __name__ == "__main__":
    sys.exit(main())
