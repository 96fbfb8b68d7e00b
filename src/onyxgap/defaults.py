"""Default limits, intervals and time-outs; settings can override some of them."""

# Journal and configuration
POLL_INTERVAL_S = 1.0
SNAPSHOT_EVERY_ENTRIES = 500
JOURNAL_PAGE_ROWS = 200
JOURNAL_RETAINED_ENTRIES = 600
JOURNAL_INLINE_LIMIT_BYTES = 32_768

# Membership
MEMBER_ROW_INTERVAL_S = 2.0
MEMBER_TIMEOUT_S = 6.0
# an owner is probed when a slot request is pending there and no frame of it has
# arrived for this long
PROBE_AFTER_S = 0.2
PROBE_TIMEOUT_S = 0.4
FRESHNESS_LIMIT_S = 2.0

MEMBER_ROW_EXPIRY_S = 600.0

# Retention
CLAIM_RETENTION_S = 172_800.0
SWEEP_PAGE_ROWS = 200
SWEEP_INTERVAL_S = 5.0

# Platform calls
PLATFORM_TIMEOUT_S = 2.0
PLATFORM_BACKOFF_MIN_S = 0.1
PLATFORM_BACKOFF_MAX_S = 5.0

# Requests
MAX_BODY_BYTES = 1_048_576
MAX_ANSWER_BYTES = 8_388_608
MAX_HEADER_BYTES = 16_384
CONNECT_TIMEOUT_S = 0.25
DEFAULT_DEADLINE_MS = 3_800
MAX_QUEUE_PER_SLOT = 16
URGENT_RESERVE_SHARE = 0.015
# urgent grants in a row, while others wait, before a lower priority goes first
MAX_CONSECUTIVE_URGENT = 16
# token bucket for retries: tokens added by each first attempt, and its capacity
RETRY_BUDGET_SHARE = 0.1
RETRY_BUDGET_BURST = 5.0
MAX_ATTEMPTS = 3
EJECT_AFTER_FAILURES = 5
EJECT_BASE_S = 5.0
EJECT_MAX_S = 60.0
MAX_EJECTED_SHARE = 0.5
MAX_IDLE_CONNECTIONS = 8
CLAIM_BATCH_WINDOW_S = 0.005
CLAIM_BATCH_MAX = 64
CLAIM_TIMEOUT_S = 1.0
CLAIM_INLINE_LIMIT_BYTES = 4_096
MIN_RETRY_AFTER_S = 1

# Fleet
PASS_INTERVAL_S = 1.0
TASK_LIST_INTERVAL_S = 3.0
MAX_VM_LIST_AGE_S = 15.0
DRAIN_GRACE_S = 30.0
REBOOT_TIMEOUT_S = 300.0
REPAIR_ATTEMPTS = 2
MIN_CONSECUTIVE_ABSENCES = 3
MAX_VOLUNTARY_DISRUPTIONS_PER_PASS = 64
QUARANTINE_DISTINCT_JOBS = 3
UNRUNNABLE_DISTINCT_WORKERS = 3
UNRUNNABLE_CONSECUTIVE_LOSSES = 5
"""Number of attempts of a task that are lost with their VMs, with no successful attempt
between them, before the task is assumed to crash its VMs. Of 19,000 VMs, 1,490 fail or
restart in a day, so a task of ten minutes loses one attempt in 1,800 by chance."""

# Graceful shutdown
STOP_GRACE_S = 30.0
LAME_DUCK_S = 1.0
