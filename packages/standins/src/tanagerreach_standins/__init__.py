"""Stand-ins for the store, backend servers, callers and network links of a fleet."""
