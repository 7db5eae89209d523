"""All measures of scale in turn; tables on stdout, progress on stderr. Some six minutes beside other load."""

from __future__ import annotations

from benchmarks import added, counter, customers, instances, leases, lists, waves
from benchmarks.common import progress


def main() -> None:
    for module in (counter, leases, lists, instances, customers, waves, added):
        progress(f"-- {module.__name__}")
        module.main()
        if module is counter:
            counter.faults()


if __name__ == "__main__":
    main()
