"""Names of the events in the log; holds no state.

docs/OPERATIONS.md lists the fields of each event; a test checks that it lists
every event of this module.
"""

import enum


class Event(enum.StrEnum):
    """Event that a log line reports."""

    # Life cycle of a process.
    STARTED = 'started'
    STOPPING = 'stopping'
    STOPPED = 'stopped'
    METRICS_SERVED = 'metrics served'
    SETTINGS_READ = 'settings read'
    SETTINGS_REFUSED = 'settings refused'
    RESUMED = 'resumed after a pause'
    TASK_FAILED = 'background task failed'
    LINES_LOST = 'log lines lost'
    LOOP_LATE = 'event loop late'
    CLIENT_EVICTED = 'client evicted'

    # Changes in a process's view of the other processes and of the platform.
    ROUTES_IN_FORCE = 'routes in force'
    ACCOUNTS_IN_FORCE = 'accounts in force'
    ACCOUNTS_IGNORED = 'accounts ignored'
    ACCOUNTS_UNCONFIRMED = 'accounts not confirmed'
    CONFIGURATION_IN_FORCE = 'configuration in force'
    BACKEND_CHANGED = 'backend server changed'
    BACKEND_LEAVING = 'backend server leaving'
    BACKEND_PAUSED = 'backend server paused'
    BACKEND_RESUMED = 'backend server resumed'
    BACKEND_COLD = 'backend server cold'
    BACKEND_WARM = 'backend server warm'
    HEADER_IGNORED = 'invalid header ignored'
    HOSTS_COUNTED = 'hosts counted'
    PROCESS_REGISTERED = 'process registered'
    VIEW_OLD = 'view of the members too old'
    ERA_SEEN = 'store era seen'
    PLATFORM_LOST = 'platform lost'
    FEED_SOURCE = 'change feed source'
    FEED_REPLACES_STORE = 'change feed replaces store'
    CHANGES_TAKEN = 'changes taken'
    CHANGES_RELAYED = 'changes relayed'
    PLATFORM_REGAINED = 'platform regained'
    EVACUATION_BEGUN = 'evacuation begun'
    EVACUATION_ENDED = 'evacuation ended'
    ZONE_SILENT = 'zone silent'
    ZONE_ANSWERS = 'zone answers'
    ZONE_SHARE = 'zone share changed'
    CUT_OFF = 'cut off'
    CONNECTED_AGAIN = 'connected again'
    TOKEN_HOLDER = 'token holder'

    # Requests.
    REQUEST_ENDED = 'request ended'
    REQUEST_REFUSED = 'request refused'
    REQUESTS_SUMMARISED = 'requests summarised'
    HANDOVER_SILENT = 'handover silent'
    HANDOVER_TAKEN_BACK = 'handover taken back'
    DISPATCH_FAILED = 'dispatcher failed'
