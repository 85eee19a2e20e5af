"""Clients of the table service, the object store and the VM list, and watches of change feeds."""
