"""Measurements of single costs, and the load that they add up to in a fleet of a given size."""
