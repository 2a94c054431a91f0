"""Header names and paths of the platform, as sent on the wire."""

PREFIX = b'x-cicadahoist-'

ATTEMPT_ID = b'X-Cicadahoist-Attempt-Id'
DEADLINE_MS = b'X-Cicadahoist-Deadline-Ms'
EXPECTED_TARGET = b'X-Cicadahoist-Expect-Instance'
HANDLE = b'X-Cicadahoist-Kv-Source'
LAST_EVENT = b'Last-Event-Id'
LENGTH_ESTIMATE = b'X-Cicadahoist-Length-Hint'
MODEL = b'X-Cicadahoist-Model'
NOT_RUN = b'X-Cicadahoist-Not-Executed'
RESUMED_ATTEMPT = b'Resumes'
PROMPT_PARTS = b'X-Cicadahoist-Prompt-Prefix'
SIGNATURE = b'X-Cicadahoist-Server-Seal'
STAGE = b'X-Cicadahoist-Serving-Stage'
TENANT = b'X-Cicadahoist-Tenant'
TOKEN_COUNT = b'X-Cicadahoist-Token-Count'
URGENCY = b'X-Cicadahoist-Request-Priority'
DUTY_HOLDER = 'X-Cicadahoist-Duty-Holder'
LEAVING = b'Server-Leaving'
RETRY_AFTER = b'Retry-After'
# Rises each time the store comes back from an older copy.
STORE_ERA = 'Store-Era'
FENCE = 'X-Cicadahoist-Fence-Token'

KEY_SCHEME = 'Token '

# Only the system sets these on requests to targets; those that callers send
# are not forwarded.
SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE_MS,
        EXPECTED_TARGET,
        HANDLE,
        NOT_RUN,
        STAGE,
        TENANT,
        URGENCY,
        b'X-Cicadahoist-Expect-Version',
        b'X-Cicadahoist-Kv-Hold',
        b'X-Cicadahoist-Kv-Backup',
        b'X-Cicadahoist-Pin-Ms',
        b'X-Cicadahoist-Kv-Fetch',
        b'Kv-Fetch',
        b'Authorization',
        LAST_EVENT,
        ATTEMPT_ID,
    )
)

# Connection options and message framing: each hop sets its own.
CONNECTION_HEADERS = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'host',
        b'keep-alive',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)

READY_PATH = '/cicadahoist/ready'
OBJECTS_PATH = '/cicadahoist/objects'
REPORT_PATH = '/cicadahoist/report'
ORDER_PATH = '/cicadahoist/order'
HANDLE_PATH = '/cicadahoist/kv-handle'
USAGE_PATH = '/usage'
SCALE_PATH = '/scale'
