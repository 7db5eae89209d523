"""Run the gateway with one mutant in place: `python -m soak.mutants NAME`."""

from __future__ import annotations

import sys

from qos_gateway import __main__ as program
from soak.mutants import MUTANTS


def main() -> int:
    """Apply the mutant that the command line names, and run the gateway's program."""
    MUTANTS[sys.argv[1]]()
    return program.main()


if __name__ == "__main__":
    sys.exit(main())
