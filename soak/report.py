"""The printed report on a run."""

from __future__ import annotations

import re
from collections import Counter

from soak.checks.violations import Rule
from soak.observations import Record
from soak.scenario import RunResult

MEBIBYTE = 1 << 20
SHOWN_VIOLATIONS = 12  # of each rule


def report(seed: int, result: RunResult, traces: bool) -> str:
    """Return the report on a run; `traces` adds the observations of each request that a violation names."""
    verdict, record = result.verdict, result.record
    rules = Counter(violation.rule for violation in verdict.violations)
    levels = " ".join(f"{level.value}={count}" for level, count in sorted(verdict.levels.items(), key=str))
    worst_lag_s = max((lag.seconds for lag in record.lags), default=0.0)
    final = "none" if verdict.final_share is None else f"{verdict.final_share:.3f}"
    peak_mb = max((seen.peak_memory_bytes for seen in record.processes), default=0) / MEBIBYTE
    lines = [
        f"seed {seed}: {len(record.requests)} requests {levels} attempts={verdict.attempts} "
        f"processes={len(record.processes)} final_share={final} own_lag_s={worst_lag_s:.3f}",
        f"  memory: peak_mb={peak_mb:.1f} limit_mb={result.memory_mb}",
        f"  bounds: {verdict.bounds} widened={len(verdict.widened_s)} "
        f"widest_s={max(verdict.widened_s, default=0.0):.3f}",
        "  broken: " + (" ".join(f"{rule.value}={count}" for rule, count in rules.items()) or "none"),
    ]
    shown: Counter[Rule] = Counter()
    for violation in verdict.violations:
        shown[violation.rule] += 1
        if shown[violation.rule] <= SHOWN_VIOLATIONS:
            lines.append(f"  {violation.at:.3f} {violation.rule.value}: {violation.text}")
            if traces:
                lines += _trace(record, violation.text)
    return "\n".join(lines)


def _trace(record: Record, text: str) -> list[str]:
    """Return the observations of the request that a violation's text names."""
    found = re.search(r"request=([0-9a-f]{16})", text)
    if found is None:
        return []
    seen = [r for r in record.requests if r.request_id == found[1]]
    attempts = [a for a in record.attempts if a.request_id == found[1]]
    return [f"    {event}" for event in (*seen, *attempts)]
