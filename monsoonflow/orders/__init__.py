"""Orders to model runners, sent by the lease holder of their cell."""
