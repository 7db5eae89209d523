"""Builds the library that lets system calls of a gateway fail, and the environment that loads it."""

from __future__ import annotations

import shutil
import subprocess
from pathlib import Path

SOURCE = Path(__file__).with_name("faulty_calls.c")
PROCESSES_PER_GATEWAY = 100
PROCESSES_PER_SEED = 100 * PROCESSES_PER_GATEWAY
COMPILERS = ("cc", "gcc", "clang")


class NoCompilerError(RuntimeError):
    """No C compiler is installed."""


def build(folder: Path) -> Path:
    """Compile the library into a folder and return its path."""
    compiler = next((found for name in COMPILERS if (found := shutil.which(name))), None)
    if compiler is None:
        raise NoCompilerError(f"failing calls need a C compiler, one of {', '.join(COMPILERS)}")
    target = folder / "faulty_calls.so"
    subprocess.run(
        [compiler, "-O2", "-Wall", "-Wextra", "-shared", "-fPIC", "-o", str(target), str(SOURCE), "-ldl"],
        check=True,
    )
    return target


def environment(library: Path, seed: int, gateway: int, process: int) -> dict[str, str]:
    """Return the variables that load the library into a process of a gateway, with a seed of its own."""
    number = (seed + 1) * PROCESSES_PER_SEED + gateway * PROCESSES_PER_GATEWAY + process
    return {"LD_PRELOAD": str(library), "SOAK_FAULTS_SEED": str(number)}
