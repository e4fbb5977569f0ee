"""Client accounts: their API keys, ranks, limits and fair shares.

Owns what the configuration says of client accounts. Decisions here are
sans-I/O; `platform` parses the configuration and reads the requests.
"""
