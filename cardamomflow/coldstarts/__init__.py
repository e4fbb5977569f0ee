"""Bound on the requests that cold backend servers get from all hosts.

Owns which backend servers are cold, how many requests per second this host may
send to each, and the reports about them. Hosts exchange no messages for it:
each computes its part of the bound from the list of hosts.
"""
