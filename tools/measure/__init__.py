"""Measures a fleet of a deployment's size and compares the figures with the design goals."""
