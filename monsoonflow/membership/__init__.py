"""Knows which nodes and VMs are there, which are leaving and which are silent."""
