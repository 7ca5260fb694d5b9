"""The tanagerreachd daemon: one instance of the tanagerreach proxy fleet."""
