"""Limits on what clients make a process hold: bytes, connections and turns.

Owns the budget of held bytes of a process, the choice of the connection that
loses when the budget or the descriptors run short, and the rules for bodies
whose framing costs more than they carry. Decisions are sans-I/O; `guard`
applies them. `docs/design/held-bytes.md` gives the reasons.
"""
