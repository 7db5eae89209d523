"""Play soak runs: `python -m soak --seeds 1 2 3`. The exit status is 1 if a rule was broken."""

from __future__ import annotations

import argparse
import sys
import tempfile
from pathlib import Path

import uvloop

from soak import call_shim
from soak.gateways import Launch
from soak.options import Options
from soak.report import report
from soak.scenario import play
from soak.schedule import FaultKind


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m soak", description=__doc__)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1])
    parser.add_argument("--seconds", type=float, default=30.0, help="of traffic in each run")
    parser.add_argument("--gateways", type=int, default=24)
    parser.add_argument("--order-servers", type=int, default=16)
    parser.add_argument("--requests-per-s", type=float, default=12.0, help="at each gateway")
    parser.add_argument("--only", nargs="+", choices=[kind.value for kind in FaultKind], default=None)
    parser.add_argument("--failing-calls", action="store_true", help="let system calls fail now and then")
    parser.add_argument(
        "--crowd-every", type=int, default=3, help="seeds, one of which has a crowd throughout"
    )
    parser.add_argument("--traces", action="store_true", help="show what was seen of broken requests")
    parser.add_argument("--logs", type=Path, default=None, help="folder for the gateways' logs")
    return parser.parse_args()


def main() -> int:
    """Play all seeds, one after the other; return the exit status."""
    arguments = _parse_arguments()
    with tempfile.TemporaryDirectory() as folder:
        library = call_shim.build(Path(folder)) if arguments.failing_calls else None
        failed = sum(_play_seed(seed, arguments, Launch(failing_calls=library)) for seed in arguments.seeds)
    print(f"{len(arguments.seeds) - failed} of {len(arguments.seeds)} runs without a broken rule")
    return 1 if failed else 0


def _play_seed(seed: int, arguments: argparse.Namespace, launch: Launch) -> bool:
    """Play a seed and print its report; return whether a rule was broken."""
    kinds = tuple(FaultKind) if arguments.only is None else tuple(FaultKind(k) for k in arguments.only)
    options = Options(
        seed=seed,
        duration_s=arguments.seconds,
        gateways=arguments.gateways,
        order_servers=arguments.order_servers,
        requests_per_s=arguments.requests_per_s,
        kinds=kinds,
        has_crowd=seed % arguments.crowd_every == 0,
        launch=launch,
        log_folder=None if arguments.logs is None else arguments.logs / str(seed),
    )
    result = uvloop.run(play(options))
    print(report(seed, result, arguments.traces), flush=True)
    return bool(result.verdict.violations)


if __name__ == "__main__":
    sys.exit(main())
