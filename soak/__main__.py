"""Play soak runs: `python -m soak --seeds 1 2 3`. The exit status is 1 if a rule was broken."""

from __future__ import annotations

import argparse
import re
import sys
import tempfile
from collections import Counter
from pathlib import Path

import uvloop

from soak import call_shim
from soak.gateways import Launch
from soak.observations import Record
from soak.options import Options
from soak.scenario import RunResult, play
from soak.schedule import FaultKind

SHOWN_VIOLATIONS = 12


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--seconds", type=float, default=30.0, help="of traffic in each run")
    parser.add_argument("--gateways", type=int, default=24)
    parser.add_argument("--order-servers", type=int, default=16)
    parser.add_argument("--requests-per-s", type=float, default=12.0, help="at each gateway")
    parser.add_argument("--only", nargs="+", choices=[kind.value for kind in FaultKind], default=None)
    parser.add_argument("--failing-calls", action="store_true", help="let system calls fail now and then")
    parser.add_argument("--traces", action="store_true", help="show what was seen of broken requests")
    parser.add_argument("--logs", type=Path, default=None, help="folder for the gateways' logs")
    return parser.parse_args()


def _trace(record: Record, text: str) -> list[str]:
    """Return the observations of the request that a violation's text names."""
    found = re.search(r"request=([0-9a-f]{16})", text)
    if found is None:
        return []
    seen = [r for r in record.requests if r.request_id == found[1]]
    attempts = [a for a in record.attempts if a.request_id == found[1]]
    return [f"    {event}" for event in (*seen, *attempts)]


def report(seed: int, result: RunResult, traces: bool) -> str:
    """Return the report on a run; `traces` adds the observations of each request that a violation names."""
    verdict, record = result.verdict, result.record
    rules = Counter(violation.rule for violation in verdict.violations)
    levels = " ".join(f"{level.value}={count}" for level, count in sorted(verdict.levels.items(), key=str))
    worst_lag_s = max((lag.seconds for lag in record.lags), default=0.0)
    final = "none" if verdict.final_share is None else f"{verdict.final_share:.3f}"
    lines = [
        f"seed {seed}: {len(record.requests)} requests {levels} attempts={verdict.attempts} "
        f"processes={len(record.processes)} final_share={final} own_lag_s={worst_lag_s:.3f}",
        "  broken: " + (" ".join(f"{rule.value}={count}" for rule, count in rules.items()) or "none"),
    ]
    shown: Counter[object] = Counter()
    for violation in verdict.violations:
        shown[violation.rule] += 1
        if shown[violation.rule] <= SHOWN_VIOLATIONS:
            lines.append(f"  {violation.at:.3f} {violation.rule.value}: {violation.text}")
            if traces:
                lines += _trace(record, violation.text)
    return "\n".join(lines)


def main() -> int:
    """Play all seeds, one after the other."""
    arguments = _parse_arguments()
    kinds = tuple(FaultKind) if arguments.only is None else tuple(FaultKind(k) for k in arguments.only)
    failed = 0
    shim_folder = tempfile.TemporaryDirectory()
    library = call_shim.build(Path(shim_folder.name)) if arguments.failing_calls else None
    for seed in arguments.seeds:
        options = Options(
            seed=seed,
            duration_s=arguments.seconds,
            gateways=arguments.gateways,
            order_servers=arguments.order_servers,
            requests_per_s=arguments.requests_per_s,
            kinds=kinds,
            launch=Launch(failing_calls=library),
            log_folder=None if arguments.logs is None else arguments.logs / str(seed),
        )
        result = uvloop.run(play(options))
        print(report(seed, result, arguments.traces), flush=True)
        failed += bool(result.verdict.violations)
    print(f"{len(arguments.seeds) - failed} of {len(arguments.seeds)} runs without a broken rule")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
