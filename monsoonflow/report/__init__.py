"""Counts requests against objectives and reports how fast their budgets burn."""
