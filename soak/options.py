"""The options of a run."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from soak.gateways import Launch
from soak.schedule import Fault, FaultKind
from soak.settings import Deployment

DEFAULT_LAUNCH = Launch()


@dataclass(frozen=True, slots=True, kw_only=True)
class Options:
    """The options of one run; whatever they leave open is drawn from the seed."""

    seed: int
    duration_s: float = 30.0
    gateways: int = 24
    order_servers: int = 16
    requests_per_s: float = 12.0  # at each gateway
    kinds: tuple[FaultKind, ...] = tuple(FaultKind)  # among which faults are drawn
    faults: tuple[Fault, ...] | None = None  # in place of drawn ones
    has_crowd: bool = False  # idle clients fill some gateways throughout
    launch: Launch = DEFAULT_LAUNCH
    deployment: Deployment | None = None
    log_folder: Path | None = None  # a temporary folder if None
