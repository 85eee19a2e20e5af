"""Limits, idempotency keys, retry budgets and the choice among plain servers."""
