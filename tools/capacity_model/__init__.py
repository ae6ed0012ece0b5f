"""Computes the figures of docs/CAPACITY.md from measured slopes, budgets and assumptions."""
