"""Header names, paths and keys of the platform's protocol.

Comments explain names whose meaning is not obvious.
"""

import http

REQUEST_ID = b'x-request-id'
DEADLINE = b'x-request-deadline'  # remaining time in milliseconds
BACKEND_ID = b'x-target-instance'
STAMP = b'x-response-seal'  # signature of the backend server
LOAD = b'x-server-load'  # running, waiting, slots and perhaps slowness in %
NOT_RUN = b'x-not-executed'  # present if the request was not run
LEAVING = b'server-leaving'  # `1` if the backend server is about to stop
API_KEY = b'x-key'  # secret of a client account
ACCOUNT = b'x-tenant'  # name of the client account that holds the key
STORE_ERA = b'store-era'  # rises by one when the store loses changes
COLD_REMAINING = b'x-cold-remaining'  # milliseconds until it is warm
RETRY_AFTER = b'retry-after'  # seconds without further requests
PART_STAMPS = 'x-part-stamps'  # signatures, separated by commas
MISSING_PARTS = 'x-missing-parts'  # number of parts

# Statuses that tell a caller that its request was not run and never will be.
NOT_RUN_STATUSES = frozenset(
    (
        http.HTTPStatus.REQUEST_TIMEOUT,
        http.HTTPStatus.MISDIRECTED_REQUEST,
        http.HTTPStatus.TOO_MANY_REQUESTS,
        http.HTTPStatus.SERVICE_UNAVAILABLE,
    )
)

READY_PATH = '/api/ready'

CONFIGURATION_KEY = 'op/config'
BACKENDS_PREFIX = 'servers/'
HOSTS_PREFIX = 'hosts/'
OPERATOR_PREFIX = 'op/'
# Followed by the zone whose backend servers get nothing more.
EVACUATION_PREFIX = 'op/evacuate/'

LENGTH_HEADERS = frozenset((b'content-length', b'transfer-encoding'))

# Headers of one connection or message, which are not forwarded.
CONNECTION_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    )
)
