"""The operator tool of the tanagerreach proxy fleet."""
