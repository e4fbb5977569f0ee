"""Header names, paths and keys of the platform's protocol.

Comments explain names whose meaning is not obvious.
"""

REQUEST_ID = b'x-request-id'
DEADLINE = b'x-request-deadline'  # remaining time in milliseconds
BACKEND_ID = b'x-target-instance'
STAMP = b'x-response-seal'
LOAD = b'x-server-load'
NOT_RUN = b'x-not-executed'
PART_STAMPS = 'x-part-stamps'
MISSING_PARTS = 'x-missing-parts'

READY_PATH = '/api/ready'

CONFIGURATION_KEY = 'op/config'
BACKENDS_PREFIX = 'servers/'
HOSTS_PREFIX = 'hosts/'

# Hop-by-hop headers, which are not forwarded.
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
