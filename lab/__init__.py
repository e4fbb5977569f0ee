"""Emulator of hosts and backend servers in virtual time; not shipped."""
