"""Names of the platform's protocol; nothing outside of this folder has them.

What a name holds is said where it misleads.
"""

REQUEST_ID = b'x-request-id'
DEADLINE = b'x-request-deadline'  # milliseconds that are left
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

# Headers that concern one connection only.
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
