"""Announcements from endpoints, orders to them and requests to them."""
