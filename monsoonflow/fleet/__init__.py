"""Lets entry nodes tell each other what they have in progress and what they know."""
