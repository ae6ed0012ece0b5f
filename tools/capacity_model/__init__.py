"""The arithmetic behind docs/CAPACITY.md: measured slopes, budgets and assumptions, and what follows of them."""
