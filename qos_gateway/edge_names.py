"""Names that the operators' pages, the wire and the configuration use: each beside the code's own term.

Each class is one table, and each of its rows reads `CODE_TERM = "page's name"`. No other module spells a name
of these tables. The names of discovery's JSON and of the stored state have tables of their own, which
docs/architecture.md lists.
"""


class EnvironmentVariable:
    """Environment variable."""

    CONFIG_PATH = "ROUTER_CONFIG"
    NAME = "ROUTER_NAME"
    LISTEN = "ROUTER_LISTEN"
    DISCOVERY = "ROUTER_DISCOVERY"
    ADMIN = "ROUTER_OPERATOR"
    INHERITED_DESCRIPTOR = "ROUTER_PASSED_SOCKET"
    SHARED_FOLDER = "TMPDIR"


class ConfigKey:
    """Configuration file."""

    NAME = "name"
    LISTEN = "listen"
    DISCOVERY = "discovery"
    SEED = "seed"
    LIMITS = "limits"
    PEER_LISTEN = "peer_listen"
    PEERS = "peers"
    PEER_BROADCAST = "peers_all"
    CACHED_LIST = "known"
    SETTINGS = "settings"
    COUNTER = "counter"
    ADMIN = "operator"
    LEASE_TERM_S = "quota_lease_s"


class ProcessLimitKey:
    """Configuration file, limits."""

    MAX_DESCRIPTORS = "sockets"
    MEMORY_MB = "memory_mb"


class SettingsKey:
    """Settings."""

    CLASSES = "classes"
    PLANS = "packages"
    ZONES = "zones"
    MACHINE_CLASSES = "kinds"
    ZONE = "zone"
    POSITION = "position"
    GATEWAY_COUNT = "replicasOfMe"
    REPORT = "report"
    LIMITS = "limits"
    FAMILY = "familyInfo"
    DISCOVERY = "discovery"
    RULES = "rules"
    PRICES = "prices"


class DiscoveryMode:
    """Settings, value of discovery."""

    POLLED = "on_request"


class SettingsTextKey:
    """Settings as text, list of objects."""

    LIST_LENGTH = "count"


class RequestClassKey:
    """Settings, each of classes."""

    NAME = "name"
    LATENCY_OBJECTIVE = "aim"
    DEADLINE = "deadline"
    PRIORITY_WEIGHT = "points"
    LATE_PRIORITY_WEIGHT = "lateWorth"
    IDEMPOTENCE = "idempotency"
    IDEMPOTENCY_SCOPE = "group"
    IDEMPOTENCY_WINDOW = "window"


class IdempotenceValue:
    """Settings, value of idempotency."""

    IDEMPOTENT = "free"
    KEYED = "guarded"
    NOT_IDEMPOTENT = "single_shot"


class IdempotencyScopeValue:
    """Settings, value of group."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class PlanKey:
    """Settings, each of packages."""

    NAME = "name"
    RATE = "quotaRate"
    BURST = "mostAtOnce"
    MAX_IN_FLIGHT = "parallel"
    WEIGHT_FACTOR = "worthFactor"
    EXCESS_WEIGHT = "beyondEarns"
    EXCESS_COST = "excessCost"
    CEILING_RATE = "ceilingRate"
    CEILING_BURST = "hardBurst"
    CEILING_SLACK = "ceilingSlack"


class ReportKey:
    """Settings, report."""

    REPORT_NAMES = "names"


class SettingsLimitKey:
    """Settings, limits."""

    MAX_ATTEMPTS = "maxAttempts"
    HEDGING = "secondCopies"
    MAY_CANCEL = "cancel"
    MAY_PROBE = "probes"
    MAY_MESSAGE = "peerMessages"
    SENDS_RETRY_AFTER = "retryAfter"
    MAX_RETRY_AFTER = "maxRetryAfter"
    CONNECT_TIMEOUT = "connectTimeout"
    CONNECTION_IDLE = "connIdle"


class FamilyKey:
    """Settings, familyInfo."""

    HAS_COUNTER = "counter"
    USAGE_PERIOD = "usePeriod"
    LARGEST_REQUEST_UNITS = "largest"
    MESSAGES_PER_S = "mailPerS"
    SETTLES_ACTUAL_UNITS = "truedUp"
    COUNTER_TIMEOUT = "counterTimeout"


class RuleKey:
    """Settings, rules."""

    POLL_DEADLINE = "askWithin"
    DRAIN_GRACE = "drainGrace"
    OVERLOAD_WINDOW = "fall"
    OVERLOAD_MULTIPLE = "fallMultiple"
    INITIAL_CAPACITY_FRACTION = "startCapacity"
    SLOW_START_WINDOW = "warmUp"


class PriceKey:
    """Settings, prices."""

    CROSS_ZONE_COST = "crossZone"


class AdminPath:
    """Path of the admin API."""

    READINESS = "/ops/readiness"
    METRICS = "/ops/stats"
    DISABLE_ENDPOINT = "/ops/order-servers/down"
    ENABLE_ENDPOINT = "/ops/order-servers/up"


class MetricName:
    """Part of a metric's name."""

    PREFIX = "edge_router"
    REQUESTS = "handled"
    SERVED = "passed"
    REJECTED = "dropped"
    FAILED = "bad_gateway"
    ATTEMPTS = "upstream_tries"
    OPEN_REQUESTS = "in_progress"
    LISTED_ENDPOINTS = "known_order_servers"
    EXCLUDED_ENDPOINTS = "skipped_order_servers"
    REJECTIONS = "rejections"  # values: `RejectReason` in types/actions.py
    RETRIES = "retries"  # values: `RetryCause`
    CLIENT_CLOSES = "client_closes"  # values: `CloseReason`
    UNDELIVERED_CLIENT_CLOSES = "client_closes_undelivered"  # values: `CloseReason`
    VIOLATIONS = "violations"  # values: `Invariant`
    MEMORY_HELD = "memory_held"  # values: `MemoryUse`
    MEMORY_CAPACITY = "memory_capacity"
    MEMORY_WAITING = "memory_waiting"
    MEMORY_RESIDENT = "memory_resident"


class HandoverKey:
    """Message between two processes of a gateway."""

    VERSION = "v"
    REQUESTED = "want"
    STATE = "state"
    ENDPOINT = "backend"
    DISABLED = "out"
    SEQUENCE_NUMBER = "n"
    ACKNOWLEDGED_NUMBER = "done"


class HandoverStateKey:
    """Message between two processes of a gateway, state."""

    ENDPOINT_LIST = "list"
    CLIENT_CONNECTIONS = "clients"
    MAX_ENDPOINT_CONNECTIONS = "backends"
    ENGINE = "decisions"


class CommandName:
    """Client's command."""

    IDEMPOTENT_REQUEST = b"CALL.GET"
    OTHER_REQUEST = b"CALL.POST"
    PING = b"PING"


class CommandField:
    """Client's command, names and values."""

    REQUEST_CLASS = b"c"
    PLAN = b"t"
    DEADLINE_MS = b"d"
    IDEMPOTENCY_KEY = b"k"
    IS_RETRY = b"r"
    UNITS = b"units"
    GATEWAY_SPREAD = b"spread"
    FIRST_GATEWAY = b"first"


class ProbeWord:
    """Gateway's command to an endpoint for its load."""

    COMMAND = b"INFO"
    SECTION = b"load"


class EndpointError:
    """Endpoint's error reply."""

    FAILED = "ERR failed"
    OVERLOADED = "BUSY"


class LoadReportName:
    """Endpoint's load report."""

    QUOTA_USAGE = "used"


class SimulatorRecord:
    """Record of the simulator's batches."""

    SELECT_INSTANCE = "select"
    START = "up"
    TOPOLOGY = "topology"
    ARRIVAL = "inbound"
    RESPONSE_STARTED = "begun"
    ATTEMPT_ENDED = "reply"
    CLIENT_DISCONNECTED = "client_left"
    TIMER_FIRED = "elapsed"
    PROBE_ENDED = "status_back"
    PEER_MESSAGE = "mail"
    COUNTER_REPLIED = "counter_reply"
