"""Reaches what must last: table service, object store and the list of VMs."""
