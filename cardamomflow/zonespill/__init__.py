"""When and how much work leaves the availability zone of a host.

Owns the figures of the own and the other zones as this host sees them, the
share of the work that may leave, and the choice of the zone. Everything here is
sans-I/O and needs no message between hosts; `dispatching` feeds it.
"""
