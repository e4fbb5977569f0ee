"""Limits of client accounts that hold over all hosts.

Owns the tokens of the accounts: who may issue them (`holders`), how many there
are (`bucket`), and which a host has borrowed (`borrowing`). These decisions
are sans-I/O; `service` sends the messages. docs/design/quotas.md shows why the
sum of all hosts stays within a limit.
"""
