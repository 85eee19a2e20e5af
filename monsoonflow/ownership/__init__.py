"""Decides by leases and fencing numbers which node may send orders to which runners."""
