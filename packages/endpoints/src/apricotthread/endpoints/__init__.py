"""Announcements from endpoints, and orders and requests sent to them."""
