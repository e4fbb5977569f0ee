"""Stand-ins of the second review: store, backend servers, clients, hosts."""
