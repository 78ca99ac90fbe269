#!/usr/bin/env python3
"""Starts a system and runs the tests of tests/client, which use the OpenAI client library, against it."""
import os
import pathlib
import subprocess
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "tools"))
from system import CALLER_KEY, System  # noqa: E402


def main():
    if not (HERE / "client/node_modules").exists():
        subprocess.run(["npm", "ci", "--silent"], cwd=HERE / "client", check=True)
    build = sys.argv[1] if len(sys.argv) > 1 else "build"
    with System(build=build) as system:
        system.apply(system.configuration())
        system.wait_ready()
        environment = {**os.environ, "PARSLEY_BASE_URL": f"http://{system.addresses['entry-0']['callers']}/v1", "PARSLEY_KEY": CALLER_KEY}
        return subprocess.run(["node", "--test", "client.test.mjs"], cwd=HERE / "client", env=environment, timeout=120).returncode


if __name__ == "__main__":
    sys.exit(main())
