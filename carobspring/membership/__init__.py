"""Announcements, leases and views of backend servers."""
