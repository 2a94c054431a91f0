"""Declarations of all settings of all programs."""

from cicadahoist.config import NameOption, Option, OptionSet

SETTINGS = OptionSet()
_declare = SETTINGS.declare

MAX_PORT = 65535

INSTANCE_NAME = _declare(
    NameOption(
        'instance',
        'name',
        'instance-1',
        summary='Name of this instance, unique in the deployment.',
    )
)
INSTANCE_ZONE = _declare(
    NameOption(
        'instance',
        'zone',
        'zone-a',
        summary='Availability zone of this instance.',
    )
)
INSTANCE_ADDRESS = _declare(
    Option(
        'instance',
        'address',
        '127.0.0.1',
        summary='IP address at which other instances reach this one.',
    )
)
LOG_FORMAT = _declare(
    Option(
        'log',
        'format',
        'text',
        choices=('text', 'json'),
        summary='Format of the log: text on standard error or JSON lines on'
        ' standard output.',
    )
)
LOG_LEVEL = _declare(
    Option(
        'log',
        'level',
        'INFO',
        choices=('DEBUG', 'INFO', 'WARNING', 'ERROR'),
        summary='Lowest level that is logged.',
    )
)
ENTRY_PORT = _declare(
    Option(
        'entry',
        'port',
        8080,
        lowest=0,
        highest=MAX_PORT,
        summary='TCP port for callers.',
    )
)
BODY_LIMIT = _declare(
    Option(
        'entry',
        'body_limit',
        8_388_608,
        unit='bytes',
        lowest=1024,
        summary='Longest request body that is accepted.',
    )
)
HEADER_TIMEOUT = _declare(
    Option(
        'entry',
        'header_timeout',
        10_000,
        unit='ms',
        lowest=100,
        summary='Longest time a caller may take to send a request.',
    )
)
CONNECT_TIMEOUT = _declare(
    Option(
        'entry',
        'connect_timeout',
        500,
        unit='ms',
        lowest=10,
        summary='Longest time to connect to a target.',
    )
)
STALL_TIMEOUT = _declare(
    Option(
        'entry',
        'stall_timeout',
        2000,
        unit='ms',
        lowest=50,
        summary='Longest silence of a stream before it is resumed elsewhere.',
    )
)
DRAIN_GRACE = _declare(
    Option(
        'entry',
        'drain_grace',
        2000,
        unit='ms',
        lowest=0,
        summary='Time after SIGTERM until the entry accepts no connections.',
    )
)
DRAIN_LIMIT = _declare(
    Option(
        'entry',
        'drain_limit',
        600_000,
        unit='ms',
        lowest=0,
        summary='Longest time that open requests have to finish.',
    )
)
ADMISSION = _declare(
    Option(
        'policy',
        'admission',
        'fair',
        summary='Registered policy for the order of queued requests.',
    )
)
ROUTER = _declare(
    Option(
        'policy',
        'router',
        'predicted',
        summary='Registered policy that chooses the target of an attempt.',
    )
)
HANDOFF_TOKENS = _declare(
    Option(
        'policy',
        'handoff_tokens',
        1024,
        unit='tokens',
        lowest=0,
        summary='Prompt length from which a prefill engine processes the prompt'
        ' and hands off the KV cache; 0 for never.',
    )
)
MESH_PORT = _declare(
    Option(
        'mesh',
        'port',
        8090,
        lowest=0,
        highest=MAX_PORT,
        summary='TCP port for other instances.',
    )
)
MESH_SEEDS = _declare(
    Option(
        'mesh',
        'seeds',
        '',
        summary='Addresses (host:port, comma-separated) of known instances.',
    )
)
HEARTBEAT_PERIOD = _declare(
    Option(
        'mesh',
        'heartbeat_period',
        500,
        unit='ms',
        lowest=50,
        summary='Time between two batches to a peer.',
    )
)
PEER_TIMEOUT = _declare(
    Option(
        'mesh',
        'peer_timeout',
        2000,
        unit='ms',
        lowest=200,
        summary='Silence after which a peer is considered unreachable.',
    )
)
LOCAL_PORT = _declare(
    Option(
        'mesh',
        'local_port',
        8091,
        lowest=0,
        highest=MAX_PORT,
        summary='Loopback port between entry and control of one instance.',
    )
)
STORE_ADAPTER = _declare(
    Option(
        'store',
        'adapter',
        'http',
        summary='Registered adapter for the store of the platform.',
    )
)
STORE_URL = _declare(
    Option(
        'store',
        'url',
        'http://127.0.0.1:8070',
        summary='Address of the store of the platform.',
    )
)
STORE_TIMEOUT = _declare(
    Option(
        'store',
        'timeout',
        1000,
        unit='ms',
        lowest=10,
        summary='Longest wait for an answer of the store.',
    )
)
STORE_WATCH_WAIT = _declare(
    Option(
        'store',
        'watch_wait',
        2000,
        unit='ms',
        lowest=100,
        summary='How long one watch waits for a change.',
    )
)
STORE_PREFIX = _declare(
    Option(
        'store',
        'prefix',
        'cicadahoist',
        summary='Prefix of the names of all stored objects.',
    )
)
ENGINE_ADAPTER = _declare(
    Option(
        'targets',
        'engine_adapter',
        'openai-http',
        summary='Registered adapter for engines.',
    )
)
ENGINE_CREDENTIAL = _declare(
    Option(
        'targets',
        'engine_credential',
        '',
        summary="Bearer token sent to engines; never a caller's key.",
    )
)
ANSWER_ID = _declare(
    Option(
        'targets',
        'answer_id',
        '{attempt}',
        summary='Expected id of an answer of an engine; {attempt} stands for'
        ' the attempt. Answers with another id are dropped;'
        ' empty for no check.',
    )
)
SERVICE_ADAPTER = _declare(
    Option(
        'targets',
        'service_adapter',
        'http',
        summary='Registered adapter for plain services.',
    )
)
TARGET_TIMEOUT = _declare(
    Option(
        'targets',
        'timeout',
        1000,
        unit='ms',
        lowest=10,
        summary="Longest wait for an answer to a call other than a caller's"
        ' request.',
    )
)
PLATFORM_URL = _declare(
    Option(
        'platform',
        'url',
        'http://127.0.0.1:8071',
        summary='Address of the interfaces of the platform.',
    )
)
PLATFORM_CREDENTIAL = _declare(
    Option(
        'platform',
        'credential',
        '',
        summary='Bearer token sent to the platform.',
    )
)
PLATFORM_TIMEOUT = _declare(
    Option(
        'platform',
        'timeout',
        1000,
        unit='ms',
        lowest=10,
        summary='Longest wait for an answer of the platform.',
    )
)
WEIGHT_ADAPTER = _declare(
    Option(
        'platform',
        'weight_adapter',
        'http',
        summary='Registered adapter for the weight store.',
    )
)
TARGET_ORDER_ADAPTER = _declare(
    Option(
        'platform',
        'target_order_adapter',
        'http',
        summary='Registered adapter for target orders.',
    )
)
USAGE_ADAPTER = _declare(
    Option(
        'platform',
        'usage_adapter',
        'http',
        summary='Registered adapter for usage reports.',
    )
)
INSTANCE_ADAPTER = _declare(
    Option(
        'platform',
        'instance_adapter',
        'http',
        summary='Registered adapter for the list of instances.',
    )
)
LEASE_TERM = _declare(
    Option(
        'control',
        'lease_term',
        6000,
        unit='ms',
        lowest=500,
        summary='Time after which an unrenewed lease may be taken over.',
    )
)
LEASE_MARGIN = _declare(
    Option(
        'control',
        'lease_margin',
        500,
        unit='ms',
        lowest=50,
        summary='Time before the end of a lease at which its holder stops using'
        ' it.',
    )
)
ORDER_BOUND = _declare(
    Option(
        'control',
        'order_bound',
        1000,
        unit='ms',
        lowest=50,
        summary='Longest time that a sent order can take to arrive.',
    )
)
ROLE_PLANNER = _declare(
    Option(
        'control',
        'role_planner',
        'planned',
        summary='Registered planner for the roles of engines.',
    )
)
MOST_ORDERED = _declare(
    Option(
        'control',
        'most_ordered',
        0,
        unit='targets',
        lowest=0,
        summary='Largest number of targets that control may have bought per'
        ' pool and zone.',
    )
)
USAGE_WINDOW = _declare(
    Option(
        'usage',
        'window',
        60_000,
        unit='ms',
        lowest=1000,
        summary='Length of a billing window.',
    )
)
USAGE_FLUSH_PERIOD = _declare(
    Option(
        'usage',
        'flush_period',
        2000,
        unit='ms',
        lowest=100,
        summary='Time between two writes of usage counts to the store.',
    )
)

LARGE_FLEET = _declare(
    Option(
        'fleet',
        'large_from',
        12,
        unit='instances',
        lowest=2,
        summary='Number of instances from which a deployment is served as a'
        ' large fleet.',
    )
)

SCARCE_PLACES = _declare(
    Option(
        'balancing',
        'scarce_places',
        0.0,
        unit='slots',
        lowest=0,
        summary='In a large fleet, the slots of a service are granted by one'
        ' instance if there are fewer of them for each instance; 0 for never.',
    )
)

LOAD_DIGESTS = _declare(
    Option(
        'fleet',
        'digests_from',
        40,
        unit='instances',
        lowest=2,
        summary='Number of instances from which load reports go to collectors.'
        ' With fewer, reports to all peers are more recent.',
    )
)

SETTINGS.declare_order(HEARTBEAT_PERIOD, PEER_TIMEOUT)
SETTINGS.declare_order(LEASE_MARGIN, LEASE_TERM)
SETTINGS.declare_order(ORDER_BOUND, LEASE_TERM)
SETTINGS.declare_order(USAGE_FLUSH_PERIOD, USAGE_WINDOW)
