"""Admission limits, retry budgets, idempotency keys, server health and load balancing."""
